#pragma once

#include "GatewayFixture.h"

namespace fakeplatform {

// Runs hosts before runners that answer with streams of a few events, each of which names the software version that wrote it.
class StreamFleetFixture : public GatewayFixture {
protected:
    static constexpr int streamCount = 24;
    static constexpr int hostCount = 3;
    static constexpr int eventCount = 6;
    static constexpr int breakAfter = 3;

    // Adds a runner that answers with a stream whose events name its version. If `isBreaking` is set, it breaks off each stream.
    void addStreamRunner(const std::string& version, bool isBreaking = false)
    {
        const auto i = m_versions.size();
        m_versions.push_back(version);
        m_reportedBornMs.push_back(5'000);
        addRunner([this, i, isBreaking](const chiveshelf::http::Request& request) {
            return request.target() == "/report" ? report(m_reportedBornMs[i]) : answer(request, m_versions[i], isBreaking);
        });
        registerVersion(i, 5'000);
    }

    void registerVersion(std::size_t i, int bornMs)
    {
        registerRunner(i, R"(,"born":)" + std::to_string(bornMs) + R"(,"version":")" + m_versions[i] + "\"");
    }

    static Script report(int bornMs)
    {
        const auto body = nlohmann::json { { "busy", false }, { "sequence", 0 }, { "models", nlohmann::json::array() }, { "born", bornMs } }.dump();
        return { "HTTP/1.1 200 x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
    }

    // The tables of the fixture with a pool of engines, whose runners report their start.
    static std::string engineTables()
    {
        auto out = std::string(fakeplatform::tables);
        const std::string pool = R"("maxConns":50)";
        out.replace(out.find(pool), pool.size(), pool + R"(,"engine":{"capacity":8,"kvTokens":100000,"kvBytes":1,"linkMbps":1000})");
        return out.replace(out.find(":3"), 2, ":4");
    }

    Script answer(const chiveshelf::http::Request& request, const std::string& version, bool isBreaking) const
    {
        const auto last = chiveshelf::http::header(request, "Last-Event-Id");
        std::string bytes = fakeplatform::sealedStreamHeader(request);
        for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= eventCount; ++i) {
            bytes += fakeplatform::chunk("id: " + std::to_string(i) + "\ndata: " + version + "\n\n");
            if (isBreaking && (i == breakAfter || !last.empty()))
                return { bytes, Script::End::Reset };
            if (m_pause.count() > 0 && i == breakAfter)
                return { bytes, Script::End::Keep, fakeplatform::chunk("id: 4\ndata: " + version + "\n\n"), m_pause };
        }
        return { bytes + "0\r\n\r\n" };
    }

    static std::string ask(const std::string& id, const std::string& firstAttempt = {})
    {
        auto out = "POST /ask/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 3000\r\nApi-Key: key1\r\n";
        if (!firstAttempt.empty())
            out += "Last-Event-Id: " + std::to_string(breakAfter) + "\r\nResumes: " + firstAttempt + "\r\n";
        return out + "Content-Length: 4\r\n\r\nbody";
    }

    // Starts hosts that know that the system starts for the first time.
    void startFleet(int hosts = hostCount)
    {
        m_isFirstStart = true;
        startHosts(hosts);
        runFor(std::chrono::milliseconds(1'500));
        m_isFirstStart = false;
    }

    void startMixedFleet()
    {
        addStreamRunner("v1");
        addStreamRunner("v1");
        addStreamRunner("v2");
        addStreamRunner("v2");
        startFleet();
    }

    // Ends all hosts at once and starts them again.
    void restartFleet()
    {
        for (int i = 0; i < hostCount; ++i)
            killHost(i);
        runFor(std::chrono::milliseconds(50));
        startHosts(hostCount);
        runFor(std::chrono::milliseconds(300));
    }

    // Begins streams at a host. Returns the version that began each of them, by the id of the attempt.
    std::map<std::string, std::string> beginStreams(int host)
    {
        std::map<std::string, std::string> out;
        for (int i = 0; i < streamCount; ++i) {
            const auto id = "a" + std::to_string(i);
            out[id] = versionOf(fetchFrom(host, ask(id)).body);
        }
        return out;
    }

    static std::string versionOf(const std::string& body)
    {
        const auto begin = body.find("data: ");
        CPPUNIT_ASSERT(begin != std::string::npos);
        return body.substr(begin + 6, 2);
    }

    static void expectOneVersion(const std::string& body)
    {
        CPPUNIT_ASSERT(body.find("data: v1") == std::string::npos || body.find("data: v2") == std::string::npos);
    }

    void expectTakenUp(int host, const std::string& id, const std::string& firstAttempt, const std::string& version)
    {
        const auto response = fetchFrom(host, ask(id, firstAttempt));
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        CPPUNIT_ASSERT_EQUAL(version, versionOf(response.body));
        expectOneVersion(response.body);
    }

    static void expectRefusedOrOf(const ReceivedResponse& response, const std::string& version)
    {
        CPPUNIT_ASSERT(response.status == 503 || versionOf(response.body) == version);
    }

    // The version of each runner.
    std::vector<std::string> m_versions;
    // The start that each runner reports.
    std::vector<int> m_reportedBornMs;
    // If positive, streams pause after some events, go on with one more and then fall silent.
    std::chrono::milliseconds m_pause { 0 };
};

}
