import subprocess, json, time, urllib.request, sys, os, threading, signal, tempfile B = '/work/main/build/';
d = tempfile.mkdtemp();
procs = [] def start(*a, **k)
    : p = subprocess.Popen([ B + a[0], *a [1:] ], stdout = subprocess.PIPE,
                           stderr = open(d + '/err%d' % len(procs), 'w'),
                           text = True);
procs.append(p) return p, json.loads(p.stdout.readline()) def
                          http(m, addr, path, body = None, h = {})
    : r = urllib.request.Request(
                              'http://%s%s' % (addr, path),
                              data =
                                  body.encode() if body is not None else None,
                              method = m, headers = h) try
    : x
  = urllib.request.urlopen(r, timeout = 20);
return x.status, dict(x.headers),
       x.read().decode() except urllib.error.HTTPError as e : return e.code,
       dict(e.headers), e.read().decode() try : _, pl
  = start('standin_platform'); P=pl['address']
    _,w=start('standin_worker','--count','4','--log',d+'/log')
    def reg(id,service,addr,meta,dc):
        host,port=addr.split(':')
        return http('PUT',P,'/v1/catalog/register',json.dumps({"Node":id,"Address":host,"Datacenter":dc,"Service":{"ID":id,"Service":service,"Address":host,"Port":int(port),"Meta":meta}}))
    for i,a in enumerate(w['addresses']): print(reg('w%d'%i,'backend',a,{"data_centre":"rennes","slots":"8"},'rennes'))
    inst=[]
    for i in range(3):
        f=d+'/b%d.ini'%i
        open(f,'w').write("[instance]\ndata_centre = rennes\nregion = bretagne\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\n[platform]\naddress = %s\n[drain]\nlinger = 200ms\nlimit = 5s\n"%P)
        p,l=start('gentiandeal','serve','--boot',f); inst.append((p,l['callers'],l['peers']))
        print(reg('e%d'%i,'gentiandeal',l['callers'],{"peers":l['peers'],"data_centre":"rennes","region":"bretagne"},'rennes'))
    t=time.time()
    while time.time()-t<10:
        st=[json.loads(http('GET',c,'/v1/status')[2]) for _,c,_ in inst]
        if all(len(s['peers'])==2 and len(s['workers'])==4 for s in st): break
        time.sleep(0.05)
    print('formed',time.time()-t,[ (len(s['peers']),len(s['workers'])) for s in st])
    A,Bc,C=[c for _,c,_ in inst]
    cl=json.loads(http('POST',A,'/v1/clients','')[2])['client']
    job=json.dumps({"tasks":[{
    "path" : "/x/%d?ms=300&bytes=10" % i} for i in range(20)]})
    res=[None]*3
    def go(i,addr): res[i]=http('POST',addr,'/v1/jobs',job,{'Gentiandeal-Client':cl,'Gentiandeal-Sequence':'1','Content-Type':'application/json'})
    ts=[threading.Thread(target=go,args=(i,a)) for i,a in enumerate((A,Bc,C))]
    [x.start() for x in ts]; [x.join() for x in ts]
    print([r[0] for r in res],res[0][2]==res[1][2]==res[2][2],len(open(d+'/log').read().splitlines()))
#forged
    bad=cl[:-1]+('0' if cl[-1]!='0' else '1')
    for a in (A,Bc): print('forged',http('POST',a,'/v1/jobs',job,{'Gentiandeal-Client':bad,'Gentiandeal-Sequence':'1'})[::2])
    procs[2].send_signal(signal.SIGKILL) if False else inst[0][0].kill()
    t=time.time();
r = http('POST', Bc, '/v1/jobs', job,
         {'Gentiandeal-Client' : cl, 'Gentiandeal-Sequence' : '1'});
print('owner killed', r[0],
      r[2][:300], time.time() - t) time.sleep(4) t = time.time();
r = http('POST', Bc, '/v1/jobs', job,
         {'Gentiandeal-Client' : cl, 'Gentiandeal-Sequence' : '2'});
print('owner killed later', r[0], r[2][:300], time.time() - t)
    print(http('GET', P, '/standin/calls')[2])
        print(http('GET', Bc, '/v1/status')[2][:1500]) t1 =
            open('/proc/%d/stat' % inst[1][0].pid).read().split()[13:15];
time.sleep(3); t2=open('/proc/%d/stat'%inst[1][0].pid).read().split()[13:15]
    print('idle cpu ticks in 3s',t1,t2, [l for l in open('/proc/%d/status'%inst[1][0].pid) if 'VmRSS' in l])
    for p,_,_ in inst[1:]: p.terminate()
    print([p.wait(10) for p,_,_ in inst[1:]])
finally:
    for p in procs: p.kill()
    for i in range(len(procs)): 
        s=open(d+'/err%d'%i).read()
        if s: print(i,s[:1500])
