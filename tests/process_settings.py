#!/usr/bin/env python3
"""Settings of the daemon: all wrong ones in one message before a port opens; the command line before the environment."""

import os
import socket
import subprocess

import harness


def run(build, *flags, **environment):
    """Runs bilberryd to its end; gives (exit code, standard output, standard error)."""
    result = subprocess.run([f"{build}/bilberryd", *flags], env={**os.environ, **environment}, capture_output=True, text=True, timeout=20, check=False)
    return result.returncode, result.stdout, result.stderr


def check_five_wrong(build):
    flags = ["--role=both", "--listen=127.0.0.1:0", "--configuration_service=config:8500", "--tick_ms=soon", "--http_threads=2", "--colour=blue", "--authentication_key=short"]
    code, output, error = run(build, *flags, FLAGS_gossip_ms="9999")
    assert code == 2 and output == "", (code, output)
    wanted = ['--role: "both"', "--vm: must be set", "--data_centre: must be set", '--configuration_service: "config:8500"',
              '--tick_ms: "soon"', "--http_threads: 2", "--colour: no such setting", "--gossip_ms: 9999", "--authentication_key: "]
    missing = [part for part in wanted if part not in error]
    assert not missing, (missing, error)


def check_precedence(build):
    good = ["--vm=a", "--data_centre=b", "--configuration_service=127.0.0.1:1"]
    # The wrong role comes from the environment, so that the program ends; the command line's role hides it.
    code, _, error = run(build, *good, "--http_threads=1", FLAGS_role="both", FLAGS_http_threads="16")
    assert code == 2 and '--role: "both"' in error and "--http_threads: 1 " in error, error
    code, _, error = run(build, *good, "--role=entry", "--http_threads=1", FLAGS_role="both")
    assert code == 2 and "--role" not in error, error


def main():
    arguments = harness.parse_arguments(__doc__)
    check_five_wrong(arguments.build)
    check_precedence(arguments.build)
    code, output, _ = run(arguments.build, "--help")
    assert code == 0 and "--drain_timeout_ms" in output and "exit codes" in output, output
    code, output, _ = run(arguments.build, "--version")
    assert code == 0 and output.startswith("bilberryd "), output
    # A port that is taken is no wrong setting.
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        code, _, _ = run(arguments.build, "--role=entry", "--vm=a", "--data_centre=b", "--configuration_service=127.0.0.1:1",
                         f"--listen=127.0.0.1:{taken.getsockname()[1]}")
        assert code == 3, code


if __name__ == "__main__":
    harness.main(main)
