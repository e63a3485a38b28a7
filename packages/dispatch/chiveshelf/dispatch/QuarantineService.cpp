#include "chiveshelf/dispatch/QuarantineService.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

    constexpr auto quarantineLifetime = std::chrono::minutes(10);
    constexpr std::size_t maximumFingerprints = 1'000;
    // Each notice is sent repeatedly because datagrams may be lost; notices are small and crashes are rare.
    constexpr int announcementCount = 3;
    constexpr auto announceInterval = std::chrono::milliseconds(200);

}

QuarantineService::QuarantineService(asio::io_context& context, peer::DatagramChannel& datagrams, MemberDirectory& members)
    : m_context(context)
    , m_datagrams(datagrams)
    , m_members(members)
    , m_crashes(quarantineLifetime, maximumFingerprints)
{
    datagrams.handle<QuarantineNotice>([this](const Address&, const QuarantineNotice& notice) { record(notice); });
}

Result<void> QuarantineService::check(const std::string& fingerprint) const
{
    const auto remaining = m_crashes.remaining(fingerprint, Clock::now());
    if (remaining.count() > 0)
        return failure(ErrorCode::Quarantined, "runners crashed while they ran this request", Verdict::NotRun, remaining);
    return {};
}

void QuarantineService::record(const QuarantineNotice& notice)
{
    const auto now = Clock::now();
    if (!m_crashes.record(notice.fingerprint, notice.runner, now))
        return;
    if (m_crashes.isQuarantined(notice.fingerprint, now))
        logEvent(LogLevel::Warning, "request_quarantined", { { "fingerprint", notice.fingerprint }, { "runner", notice.runner } });
}

void QuarantineService::reportCrash(const std::string& fingerprint, const std::string& runner)
{
    const QuarantineNotice notice { fingerprint, runner };
    record(notice);
    spawnTask(m_context, "quarantine_service.announce", announce(notice));
}

asio::awaitable<void> QuarantineService::announce(QuarantineNotice notice)
{
    asio::steady_timer timer(m_context);
    for (int i = 0; i < announcementCount; ++i) {
        for (const auto& member : m_members.inDataCentre(m_members.self().dataCentre)) {
            if (member.name != m_members.self().name)
                m_datagrams.send(member.peerAddress, notice);
        }
        boost::system::error_code ec;
        timer.expires_after(announceInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

std::vector<std::string> QuarantineService::quarantined() const
{
    return m_crashes.quarantined(Clock::now());
}

}
