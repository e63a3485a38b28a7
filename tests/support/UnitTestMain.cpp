#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <iostream>

// Runs all tests of the binary, or only the suite or case with the full name in the first argument.
int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(result, argc > 1 ? argv[1] : "");
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
