#pragma once

#include <boost/process/child.hpp>

#include <string>
#include <vector>

namespace support {

// A process started by a test. The destructor kills it.
class ChildProcess {
public:
    // Starts a binary of the build; its stderr is written to the file `logPath`. The process doesn't inherit the sockets of the test.
    ChildProcess(const std::string& binary, const std::vector<std::string>& arguments, const std::string& logPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Sends a signal, for instance SIGTERM, SIGSTOP or SIGCONT.
    void signal(int signalNumber);

    // Kills the process and waits for its end.
    void kill();

    int id() const { return m_child.id(); }
    bool isRunning();

    // Waits until the process exits. Returns its exit code, or -1 if it still runs at the timeout.
    int waitForExit(std::chrono::milliseconds timeout);

private:
    boost::process::child m_child;
};

// Runs a binary of the build, waits until it exits and returns its exit code. `output` receives its stdout.
int runToCompletion(const std::string& binary, const std::vector<std::string>& arguments, std::string& output);

// Returns a number of kB from the status file of a process, in bytes, or 0 if there is none.
std::size_t statusBytes(int process, const std::string& name);

}
