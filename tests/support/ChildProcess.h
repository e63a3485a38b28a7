#pragma once

#include <boost/process/child.hpp>

#include <string>
#include <vector>

namespace support {

// A process that a test started. It is killed when the object goes.
class ChildProcess {
public:
    // Starts a binary of the build with arguments; its stderr goes to the file `logPath`.
    ChildProcess(const std::string& binary, const std::vector<std::string>& arguments, const std::string& logPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Sends a signal, for instance SIGTERM, SIGSTOP or SIGCONT.
    void signal(int number);

    // Kills the process and waits for its end.
    void kill();

    int id() const { return m_child.id(); }
    bool isRunning();

    // Waits for the process to end by itself. Returns its exit code, or -1 at the limit.
    int waitForExit(std::chrono::milliseconds limit);

private:
    boost::process::child m_child;
};

// Runs a binary of the build to its end and returns its exit code; `output` receives stdout.
int runToEnd(const std::string& binary, const std::vector<std::string>& arguments, std::string& output);

}
