"""Instances get SIGTERM in turn, while workers that they own run tasks of more
than 2.3 s. They must stop, not crash."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                '..'))
import standins  # noqa: E402

# A name as on the sheet of the deployment: edge-saint-brieuc-1.
ZONE = 'saint-brieuc'
INSTANCES = 3
STOPS = 9  # Three of each instance.
JOBS, JOB_MS, DEADLINE_MS = 10, 3000, 8000


async def submit(deployment, instance):
    job = standins.new_id()
    body = {'spec': '{"ms":%d,"cpu":14000}' % JOB_MS, 'best_effort': True,
            'phases': [{'count': 1, 'cpu': 14000, 'mem_mb': 64,
                        'est_ms': JOB_MS}]}
    try:
        status, answer = await standins.call(
            instance.host, 8161, 'POST', standins.BOOKING + job, body,
            DEADLINE_MS, DEADLINE_MS / 1000 + 1)
        deployment.record(f'answer job={job} at {instance.name} '
                          f'status={status} {answer}')
    except (ConnectionError, asyncio.TimeoutError) as error:
        deployment.record(f'answer job={job} none {error!r}')


async def case(deployment):
    deployment.zones = (ZONE,)
    await deployment.start(INSTANCES, ['a'] * 6)
    crashes = {one.name: 0 for one in deployment.instances}
    for index in range(STOPS):
        stopped = deployment.instances[index % INSTANCES]
        others = [one for one in deployment.instances if one is not stopped]
        jobs = [asyncio.create_task(submit(deployment, others[k % 2]))
                for k in range(JOBS)]
        await asyncio.sleep(0.3)
        if standins.TROUBLE:
            deployment.record(f'SIGTERM {stopped.name}')
            began = standins.now()
            stopped.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(stopped.process.wait(),
                                       standins.BOUNDS['grace_s'])
            except asyncio.TimeoutError:
                stopped.process.kill()
                await stopped.process.wait()
            code = stopped.process.returncode
            deployment.record(f'ended {stopped.name} code={code} '
                              f'after_s={standins.now() - began:.3f}')
            if code not in (0, -signal.SIGTERM, -signal.SIGKILL):
                crashes[stopped.name] += 1
        await asyncio.gather(*jobs)
        if standins.TROUBLE:
            await stopped.start()
            await stopped.wait_ready()
        await asyncio.sleep(2)
    for one in deployment.instances:
        if not standins.TROUBLE and not one.running():
            crashes[one.name] += 1
    deployment.record(f'crashes={crashes}')
    # A fault, as the rule counts: three times, on two machines or more.
    return int(sum(count >= 3 for count in crashes.values()) >= 2)


standins.main(case)
