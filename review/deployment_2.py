"""Starts a small deployment for the scripts of the second review.

The platform's store and the workers are the project's own stand-in
(`standin_hosted`); instances run the command of `deploy/system.toml`.
"""

import http.client
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
STANDIN = ROOT / "build/review-2/standin_hosted"
# The command of the role `entry`, run in the root of the repository.
COMMAND = [str(ROOT / "target/gentiandeal"), "hosted"]

HELD = 0
BROKEN = 1
NOT_RUN = 2


class NotRun(Exception):
    """The case couldn't be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, file):
        self.began = time.monotonic()
        self.file = open(file, "w")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def write(self, *words):
        with self.lock:
            print(f"{self.now():8.3f}", *words, file=self.file, flush=True)


def reserve_port():
    """Keeps a port from being chosen again; instances can still listen."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    return held, held.getsockname()[1]


def raise_own_descriptors(least):
    """Uses what the machine allows; changes no limit of the machine."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    if most != resource.RLIM_INFINITY and most < least:
        raise NotRun(f"needs {least} descriptors a process, {most} allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (least, most))


class Deployment:
    def __init__(self, record_file):
        self.record = Record(record_file)
        self.scratch = tempfile.TemporaryDirectory()
        self.processes = []
        self.ports = []
        self.platform = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.scratch.cleanup()

    def start_platform(self, *words):
        if not STANDIN.exists() or not pathlib.Path(COMMAND[0]).exists():
            raise NotRun("build the deploy file and review/build-2.sh first")
        process = subprocess.Popen([str(STANDIN), *words],
                                   stdin=subprocess.PIPE,
                                   stdout=subprocess.PIPE)
        self.processes.append(process)
        self.platform = json.loads(process.stdout.readline())

    def control(self, what):
        host, port = self.platform["control"].split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        connection.request("GET", "/standin/" + what)
        return json.loads(connection.getresponse().read())

    def start_instance(self, name, number):
        """@param number Gives it a loopback address of its own."""
        held = [reserve_port() for _ in range(3)]
        self.ports += [one for one, _ in held]
        callers, ready, links = [port for _, port in held]
        settings = {
            "node_name": name,
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": f"127.2.{os.getpid() % 250}.{number}",
            "zone": "rennes",
            "region": "bretagne",
            "zones": {"rennes": "bretagne"},
            "listen": {"frontend": f"127.0.0.1:{callers}",
                       "ready": f"127.0.0.1:{ready}"},
            "port_range": [links, links],
            "bootstrap": True,
            "limits": {"cpu_quota": 0.25, "cores": 1, "memory_mb": 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "discovery": "platform",
            "heartbeat_ms": 1500,
            "bounds": {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000,
                       "grace_s": 6, "config_apply_ms": 2000,
                       "max_hold_ms": 1000, "stop_timeout_ms": 50,
                       "cancel_ms": 3000, "resend_ms": 1300},
            "commands": "rpc",
            "platform": {"addr": self.platform["store"], "form": "kv",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "history_s": 20, "value_bytes": 1048576,
                         "min_ttl_ms": 1000},
        }
        file = pathlib.Path(self.scratch.name) / f"{name}.json"
        file.write_text(json.dumps(settings))
        most = settings["limits"]["max_fds"]

        def limit_descriptors():
            resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

        process = subprocess.Popen(
            COMMAND, cwd=ROOT, stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env={**os.environ, "GENTIANDEAL_CONFIG": str(file)},
            preexec_fn=limit_descriptors)
        self.processes.append(process)
        return Instance(name, process, callers, ready)

    def await_service(self, instances, job):
        """Waits until each instance answers a job with 200."""
        end = time.monotonic() + 20
        for instance in instances:
            while instance.submit(new_id(), job, 1500)[0] != 200:
                if time.monotonic() > end:
                    raise NotRun(f"{instance.name} doesn't serve")
                time.sleep(0.1)


class Instance:
    def __init__(self, name, process, callers, ready):
        self.name = name
        self.process = process
        self.callers = callers
        self.ready = ready
        self.logged_bytes = 0
        threading.Thread(target=self.read_log, daemon=True).start()

    def read_log(self):
        """Only counts what the instance logs: it may be a lot."""
        while chunk := os.read(self.process.stdout.fileno(), 1 << 20):
            self.logged_bytes += len(chunk)

    def submit(self, job_id, job, deadline_ms, method="POST", patience_s=None):
        """Makes a call on a connection of its own.

        @returns the status and the body; status 0 without a whole answer.
        """
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.callers,
            timeout=patience_s or deadline_ms / 1000)
        try:
            connection.request(method, "/case/" + job_id, job,
                               call_fields(deadline_ms))
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException) as error:
            return 0, type(error).__name__
        finally:
            connection.close()

    def is_ready(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.ready,
                                                timeout=1)
        try:
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def cpu_s(self):
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def call_fields(deadline_ms):
    return {"Host": "desk.example", "Content-Type": "application/json",
            "Deadline-Ms": str(deadline_ms)}


def new_id():
    return os.urandom(8).hex()


def make_job(run_ms, steps):
    """The stand-in's workers take the payload as the time that a run takes."""
    return json.dumps({"spec": str(run_ms), "best_effort": True,
                       "phases": steps})


def run_case(record_file, play):
    """Plays a case with its own deployment, and exits as `run.sh` must."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.alarm(118)
    try:
        with Deployment(record_file) as deployment:
            deployment.record.write("trouble", trouble)
            broken = play(deployment, trouble)
            deployment.record.write("rule", "broken" if broken else "held")
        sys.exit(BROKEN if broken else HELD)
    except NotRun as reason:
        print("not run:", reason)
        sys.exit(NOT_RUN)
