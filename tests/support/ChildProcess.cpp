#include "ChildProcess.h"

#include <boost/process/args.hpp>
#include <boost/process/handles.hpp>
#include <boost/process/io.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace support {

namespace {

    std::string binaryPath(const std::string& name)
    {
        const char* folder = std::getenv("CHIVESHELF_TEST_BINARIES");
        if (folder)
            return std::string(folder) + "/" + name;
        return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
    }

    boost::process::child start(const std::string& binary, const std::vector<std::string>& arguments, const std::string& logPath)
    {
        // Boost's object keeps the descriptors of the present start in a mutable member, so that threads must not share it.
        const auto limitHandles = boost::process::limit_handles;
        return boost::process::child(binaryPath(binary), boost::process::args(arguments), boost::process::std_in<boost::process::null, boost::process::std_out> boost::process::null, boost::process::std_err > logPath, limitHandles);
    }

}

ChildProcess::ChildProcess(const std::string& binary, const std::vector<std::string>& arguments, const std::string& logPath)
    : m_child(start(binary, arguments, logPath))
{
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int signalNumber)
{
    ::kill(m_child.id(), signalNumber);
}

void ChildProcess::kill()
{
    std::error_code ec;
    if (!m_child.running(ec))
        return;
    ::kill(m_child.id(), SIGKILL);
    m_child.wait(ec);
}

bool ChildProcess::isRunning()
{
    std::error_code ec;
    return m_child.running(ec);
}

int ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (isRunning() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return isRunning() ? -1 : m_child.exit_code();
}

int runToCompletion(const std::string& binary, const std::vector<std::string>& arguments, std::string& output)
{
    boost::process::ipstream out;
    boost::process::child child(binaryPath(binary), boost::process::args(arguments), boost::process::std_in<boost::process::null, boost::process::std_out> out);
    std::ostringstream text;
    text << out.rdbuf();
    child.wait();
    output = text.str();
    return child.exit_code();
}

std::size_t statusBytes(int process, const std::string& name)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (file >> word) {
        std::size_t n = 0;
        if (word == name + ":" && file >> n)
            return n * 1'024;
    }
    return 0;
}

}
