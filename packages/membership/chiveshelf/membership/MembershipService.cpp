#include "chiveshelf/membership/MembershipService.h"

#include "chiveshelf/core/Log.h"
#include "chiveshelf/core/Tasks.h"
#include "chiveshelf/membership/RendezvousHash.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace chiveshelf {

namespace asio = boost::asio;
using Clock = FailureDetector::Clock;

namespace {

    constexpr auto tickInterval = std::chrono::milliseconds(50);
    // Two hosts of each data centre read the host list this often and gossip its leaving flags. If all 760 hosts of the target
    // size did, they would use a third of the platform's read rate.
    constexpr auto listReaderInterval = std::chrono::milliseconds(1'000);
    // Interval between two reads of the host list by the other hosts.
    constexpr auto refreshInterval = std::chrono::milliseconds(15'000);
    constexpr std::size_t listReadersPerDataCentre = 2;

    // Uses the wall clock in ms, since a restarted host must exceed the incarnation of its previous process and stores nothing on
    // disk.
    std::uint64_t startIncarnation()
    {
        const auto time = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }

}

MembershipService::MembershipService(asio::io_context& context, HttpPlatform& platform, peer::DatagramChannel& datagrams,
    peer::PeerClient& peers, MemberDirectory& directory)
    : m_context(context)
    , m_platform(platform)
    , m_datagrams(datagrams)
    , m_peers(peers)
    , m_directory(directory)
    , m_detector(directory, {}, startIncarnation(), std::random_device {}())
{
    m_datagrams.handle<Gossip>([this](const Address&, const Gossip& message) {
        ++m_counters.receivedDatagrams;
        m_detector.receive(message, Clock::now());
        if (m_revisionListener)
            m_revisionListener({ message.sender.ip, message.sender.port }, message.tablesRevision);
        flush();
    });
}

void MembershipService::start()
{
    spawnLoop(m_context, "membership_service.tick_loop", [this] { return tickLoop(); });
    spawnLoop(m_context, "membership_service.refresh_loop", [this] { return refreshLoop(); });
}

void MembershipService::subscribe(ChangeListener listener)
{
    m_listeners.push_back(std::move(listener));
}

void MembershipService::exchangeRevisions(std::function<std::uint64_t()> own, RevisionListener listener)
{
    m_revisionSource = std::move(own);
    m_revisionListener = std::move(listener);
}

void MembershipService::announceLeaving()
{
    m_detector.startLeaving(Clock::now());
    flush();
}

void MembershipService::announceGone()
{
    m_detector.announceGone();
    flush();
}

void MembershipService::reportLostConnection(const Address& address)
{
    m_detector.probeNow(address, Clock::now());
    flush();
}

asio::awaitable<void> MembershipService::tickLoop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        if (m_revisionSource)
            m_detector.setTablesRevision(m_revisionSource());
        m_detector.tick(Clock::now());
        flush();
        boost::system::error_code ec;
        timer.expires_after(tickInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<void> MembershipService::refreshLoop()
{
    asio::steady_timer timer(m_context);
    auto lastRead = Clock::time_point::min();
    while (true) {
        // A list that does not contain this host yet is stale and may lack other hosts, so it is read again.
        const bool isDue = lastRead == Clock::time_point::min() || isListReader() || !m_isListed || Clock::now() - lastRead >= refreshInterval;
        if (isDue) {
            const auto hosts = co_await m_platform.list();
            lastRead = Clock::now();
            if (hosts) {
                const auto& name = m_directory.self().name;
                m_isListed = std::any_of(hosts->begin(), hosts->end(), [&](const ListedHost& host) { return host.name == name; });
                m_detector.updateListedHosts(*hosts, Clock::now());
            }
            flush();
        }
        boost::system::error_code ec;
        timer.expires_after(listReaderInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

bool MembershipService::isListReader() const
{
    const auto& self = m_directory.self();
    std::vector<std::string> names;
    for (const auto& member : m_directory.inDataCentre(self.dataCentre)) {
        if (member.state != MemberState::Gone)
            names.push_back(member.name);
    }
    const auto ranked = rankByRendezvous("host-list", std::move(names));
    const auto position = std::find(ranked.begin(), ranked.end(), self.name) - ranked.begin();
    return static_cast<std::size_t>(position) < listReadersPerDataCentre;
}

void MembershipService::flush()
{
    for (const auto& outgoing : m_detector.takeOutgoing()) {
        ++m_counters.sentDatagrams;
        m_datagrams.send(outgoing.to, outgoing.message);
    }
    for (const auto& change : m_detector.takeChanges())
        handleChange(change);
}

void MembershipService::handleChange(const MemberChange& change)
{
    const auto& member = change.member;
    const bool isSelf = member.name == m_directory.self().name;
    logEvent(LogLevel::Info, "member_changed",
        { { "host", member.name }, { "state", memberStateName(member.state) }, { "before", change.before ? memberStateName(*change.before) : "unknown" },
            { "incarnation", member.incarnation } });
    if (member.state == MemberState::Suspect)
        ++(isSelf ? m_counters.ownSuspicions : m_counters.suspicions);
    if (member.state == MemberState::Gone && !isSelf) {
        ++m_counters.removals;
        const auto members = m_directory.all();
        const bool isReplaced = std::any_of(members.begin(), members.end(), [&](const Member& other) {
            return other.peerAddress == member.peerAddress && other.state != MemberState::Gone;
        });
        // Fail pending calls to the removed host at once instead of after the peer connection's silence limit.
        if (!isReplaced)
            m_peers.disconnect(member.peerAddress);
    }
    if (change.before == MemberState::Gone)
        ++m_counters.returns;
    for (const auto& listener : m_listeners)
        listener(change);
}

}
