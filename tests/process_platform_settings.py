#!/usr/bin/env python3
"""Wrong settings of bilberrynode: one line a fault that names the setting, exit code 2, and no port is opened."""

import pathlib
import socket
import subprocess
import tempfile

import harness
import platform_fleet
import test_ports

GOOD = {"role": "entry", "vm": "v", "data_centre": "a", "data_centres": "a=r", "ready_listen": "127.0.0.1:0", "store": "127.0.0.1:1", "ip": "127.0.0.1"}


def run(build, flags, *arguments, environment=None):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "flags"
        path.write_text("".join(f"--{name}={value}\n" for name, value in flags.items()))
        return subprocess.run([f"{build}/bilberrynode", f"--flagfile={path}", *arguments], capture_output=True, text=True, timeout=10, env=environment)


def main():
    build = harness.parse_arguments(__doc__).build
    port = test_ports.free_port()
    good = {**GOOD, "listen": f"127.0.0.1:{port}"}
    rows = [
        ({"role": "x"}, "--role"), ({"vm": ""}, "--vm"), ({"data_centre": "b"}, "--data_centre"), ({"data_centres": "a"}, "--data_centres"), ({"listen": "nowhere"}, "--listen"),
        ({"listen": ""}, "--listen"), ({"store": ""}, "--store"), ({"store": "host:80"}, "--store"), ({"seeds": "127.0.0.1:1,x"}, "--seeds"), ({"peer_ports": "99999"}, "--peer_ports"),
        ({"repeat_ratio": "-1"}, "--repeat_ratio"), ({"repeat_ratio": "much"}, "--repeat_ratio"), ({"stop_grace_s": "1e9"}, "--stop_grace_s"), ({"unknown": "1"}, "--unknown"),
        ({"role": "agent", "service": "s"}, "--engine"), ({"role": "agent", "service": "s", "engine": "127.0.0.1:1"}, "--peer_ports"), ({"role": "agent", "service": "s", "engine": "127.0.0.1:1"}, "--seeds"), ({"role": "agent", "engine": "127.0.0.1:1"}, "--service"), ({"max_descriptors": "1"}, "--max_descriptors"),
    ]
    for change, named in rows:
        result = run(build, {**good, **change})
        lines = [line for line in result.stderr.splitlines() if line.startswith("--")]
        assert result.returncode == 2 and any(line.startswith(named + ":") for line in lines), (change, result)
        with socket.socket() as probe:
            assert probe.connect_ex(("127.0.0.1", port)) != 0, change
    several = run(build, {**good, "vm": "", "store": "", "role": "x"})
    assert len([line for line in several.stderr.splitlines() if line.startswith("--")]) == 3, several.stderr
    assert run(build, good, "stray").returncode == 2
    assert "--flagfile" in run(build, {}, "--flagfile=/nowhere/flags").stderr
    help_text = run(build, good, "--help")
    assert help_text.returncode == 0 and "--repeat_extra" in help_text.stdout, help_text
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", port))
        taken.listen()
        assert run(build, good).returncode == 3


if __name__ == "__main__":
    harness.main(main)
