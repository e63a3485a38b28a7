#include "chiveshelf/membership/FailureDetector.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    // Transmissions of each update per binary logarithm of the number of members. Reaches all members with high probability.
    constexpr double transmissionsPerLog = 3.0;
    // Time for which an indirect probe sent for another host waits for its Ack.
    constexpr auto relayLifetime = std::chrono::milliseconds(1'000);

    // Leaves room for the sender's own entry in a datagram.
    constexpr std::size_t maxUpdateBytesPerDatagram = 1'000;

    std::size_t wireBytes(const MemberUpdate& update)
    {
        constexpr std::size_t fixedBytes = 14;
        return update.name.size() + update.dataCentre.size() + update.ip.size() + fixedBytes;
    }

    Address addressOf(const MemberUpdate& update)
    {
        return { update.ip, update.port };
    }

    bool isValidUpdate(const MemberUpdate& update)
    {
        return !update.name.empty() && update.state <= static_cast<std::uint8_t>(MemberState::Gone)
            && parseAddress(toString(addressOf(update))).has_value();
    }

}

FailureDetector::FailureDetector(MemberDirectory& directory, DetectorLimits limits, std::uint64_t incarnation, std::uint32_t seed)
    : m_directory(directory)
    , m_limits(limits)
    , m_random(seed)
{
    setSelf(MemberState::Live, incarnation);
}

void FailureDetector::tick(Clock::time_point now)
{
    detectCallGap(now);
    if (m_directory.self().state == MemberState::Suspect && now - m_selfSuspectSince > m_limits.selfSuspicionTimeout)
        endSelfSuspicion();
    checkProbes(now);
    expireRecords(now);
    if (now >= m_nextPeriod) {
        m_nextPeriod = now + m_limits.protocolPeriod;
        startPeriod(now);
    }
}

void FailureDetector::detectCallGap(Clock::time_point now)
{
    if (!m_startedAt)
        m_startedAt = now;
    const auto last = m_lastCallAt.value_or(now);
    m_lastCallAt = now;
    if (now - last <= m_limits.suspicionTimeout)
        return;
    // This process was paused, so Acks it did not receive say nothing about the state of other members.
    m_probes.clear();
    m_relayed.clear();
    for (auto& [name, record] : m_records) {
        if (record.suspectUntil)
            record.suspectUntil = now + m_limits.suspicionTimeout;
    }
    m_selfSuspectSince = now;
    if (m_directory.self().state == MemberState::Live) {
        setSelf(MemberState::Suspect, m_directory.self().incarnation);
        m_changes.push_back({ m_directory.self(), MemberState::Live });
    }
    auto names = presentNeighbours({});
    std::shuffle(names.begin(), names.end(), m_random);
    names.resize(std::min(names.size(), m_limits.indirectProbers + 1));
    for (const auto& name : names)
        probe(name, now);
    if (names.empty())
        endSelfSuspicion();
}

void FailureDetector::endSelfSuspicion()
{
    if (m_directory.self().state != MemberState::Suspect)
        return;
    setSelf(MemberState::Live, m_directory.self().incarnation);
    m_changes.push_back({ m_directory.self(), MemberState::Suspect });
}

void FailureDetector::startPeriod(Clock::time_point now)
{
    ++m_periodCount;
    const auto target = nextProbeTarget();
    if (!target.empty())
        probe(target, now);
    if (m_periodCount % m_limits.periodsPerBackgroundProbe == 1)
        probeInBackground(now);
    // Probe each member that this host suspects in every period: the Ping carries the suspicion, so the member can refute it.
    for (const auto& [name, record] : m_records) {
        if (record.isOwnSuspicion && record.suspectUntil && name != target)
            probe(name, now);
    }
    // A host without neighbours sends Joins in every period, so that it joins as soon as a listed host answers.
    if (target.empty())
        sendJoins();
}

void FailureDetector::sendJoins()
{
    std::vector<std::string> names;
    for (const auto& [name, host] : m_candidates)
        names.push_back(name);
    std::shuffle(names.begin(), names.end(), m_random);
    names.resize(std::min(names.size(), m_limits.concurrentJoins));
    for (const auto& name : names)
        send(m_candidates.at(name).peerAddress, name, GossipKind::Join, ++m_sequence, name);
}

std::string FailureDetector::nextProbeTarget()
{
    while (true) {
        if (m_probeRound.empty()) {
            m_probeRound = presentNeighbours({});
            std::shuffle(m_probeRound.begin(), m_probeRound.end(), m_random);
            if (m_probeRound.empty())
                return {};
        }
        const auto name = m_probeRound.back();
        m_probeRound.pop_back();
        const auto it = m_records.find(name);
        if (it != m_records.end() && it->second.machine.state() != MemberState::Gone)
            return name;
    }
}

bool FailureDetector::isPresentNeighbour(const Record& record) const
{
    return record.member.dataCentre == m_directory.self().dataCentre && record.machine.state() != MemberState::Gone;
}

std::vector<std::string> FailureDetector::presentNeighbours(const std::string& except) const
{
    std::vector<std::string> out;
    for (const auto& [name, record] : m_records) {
        if (name != except && isPresentNeighbour(record))
            out.push_back(name);
    }
    return out;
}

void FailureDetector::probe(const std::string& name, Clock::time_point now)
{
    const auto sequence = ++m_sequence;
    m_probes[sequence] = { name, now, false };
    send(m_records.at(name).member.peerAddress, name, GossipKind::Ping, sequence, name);
}

void FailureDetector::probeNow(const Address& peerAddress, Clock::time_point now)
{
    for (const auto& [name, record] : m_records) {
        const bool isProbed = std::any_of(m_probes.begin(), m_probes.end(), [&, &member = name](const auto& entry) { return entry.second.name == member; });
        if (record.member.peerAddress == peerAddress && record.machine.state() != MemberState::Gone && !isProbed)
            probe(name, now);
    }
}

void FailureDetector::probeInBackground(Clock::time_point now)
{
    // Contacts in other data centres, gone members and listed hosts that have not answered yet are probed in random order.
    if (m_backgroundRound.empty()) {
        for (const auto& [name, record] : m_records) {
            if (record.machine.state() == MemberState::Gone || record.member.dataCentre != m_directory.self().dataCentre)
                m_backgroundRound.push_back(name);
        }
        for (const auto& [name, host] : m_candidates) {
            if (!m_records.contains(name))
                m_backgroundRound.push_back(name);
        }
        std::shuffle(m_backgroundRound.begin(), m_backgroundRound.end(), m_random);
    }
    if (m_backgroundRound.empty())
        return;
    const auto name = m_backgroundRound.back();
    m_backgroundRound.pop_back();
    const auto record = m_records.find(name);
    const auto candidate = m_candidates.find(name);
    if (record != m_records.end() && record->second.machine.state() != MemberState::Gone)
        probe(name, now);
    else if (candidate != m_candidates.end())
        send(candidate->second.peerAddress, name, GossipKind::Join, ++m_sequence, name);
    else if (record != m_records.end())
        send(record->second.member.peerAddress, name, GossipKind::Join, ++m_sequence, name);
}

void FailureDetector::checkProbes(Clock::time_point now)
{
    std::erase_if(m_relayed, [&](const auto& entry) { return now - entry.second.sentAt > relayLifetime; });
    std::vector<std::string> unanswered;
    for (auto& [sequence, probe] : m_probes) {
        if (!probe.isIndirect && now - probe.sentAt >= m_limits.directAckTimeout) {
            probe.isIndirect = true;
            requestIndirectProbes(sequence, probe);
        }
        if (now - probe.sentAt >= m_limits.protocolPeriod)
            unanswered.push_back(probe.name);
    }
    std::erase_if(m_probes, [&](const auto& entry) { return now - entry.second.sentAt >= m_limits.protocolPeriod; });
    for (const auto& name : unanswered)
        suspect(name, now);
}

void FailureDetector::requestIndirectProbes(std::uint32_t sequence, const Probe& probe)
{
    const auto target = m_records.find(probe.name);
    if (target == m_records.end())
        return;
    auto helpers = presentNeighbours(probe.name);
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min(helpers.size(), m_limits.indirectProbers));
    for (const auto& helper : helpers) {
        auto message = makeGossip(GossipKind::PingRequest);
        message.sequence = sequence;
        message.subject = probe.name;
        message.updates = { updateOf(target->second) };
        m_outgoing.push_back({ m_records.at(helper).member.peerAddress, std::move(message) });
    }
}

void FailureDetector::suspect(const std::string& name, Clock::time_point now)
{
    const auto it = m_records.find(name);
    if (it == m_records.end() || it->second.machine.state() == MemberState::Gone)
        return;
    auto& record = it->second;
    if (!record.suspectUntil)
        record.suspectUntil = now + m_limits.suspicionTimeout;
    record.isOwnSuspicion = true;
    const auto before = record.machine.state();
    if (record.machine.report(MemberState::Suspect, record.machine.incarnation()))
        publishChange(record, before, now);
}

void FailureDetector::recordAck(const std::string& name)
{
    std::erase_if(m_probes, [&](const auto& entry) { return entry.second.name == name; });
    const auto it = m_records.find(name);
    // A Suspect member refutes the suspicion through a higher incarnation in its Ack. A Leaving member stays Leaving while it is
    // suspected, so its Ack ends the suspicion.
    if (it != m_records.end() && it->second.machine.state() == MemberState::Leaving)
        it->second.suspectUntil.reset();
}

void FailureDetector::expireRecords(Clock::time_point now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        auto& record = it->second;
        if (record.suspectUntil && now >= *record.suspectUntil) {
            record.suspectUntil.reset();
            const auto before = record.machine.state();
            const bool isOwn = record.isOwnSuspicion;
            if (record.machine.report(MemberState::Gone, record.machine.incarnation()))
                publishChange(record, before, now);
            // Notify all neighbours directly: gossip takes several periods to reach them, and callers wait for the removal.
            if (isOwn)
                notifyDataCentre();
        }
        const bool isExpired = record.machine.state() == MemberState::Gone && now - record.goneAt > m_limits.goneRetention;
        if (isExpired)
            m_directory.remove(it->first);
        it = isExpired ? m_records.erase(it) : std::next(it);
    }
}

void FailureDetector::receive(const Gossip& message, Clock::time_point now)
{
    detectCallGap(now);
    const auto& self = m_directory.self();
    if (!isValidUpdate(message.sender) || message.sender.name == self.name)
        return;
    const auto sender = message.sender.name;
    // Reply to the sender's advertised address, which may differ from the source address of the datagram.
    const auto senderAddress = addressOf(message.sender);
    const auto kind = static_cast<GossipKind>(message.kind);
    applyUpdate(message.sender, now);
    // A host that joins an established data centre is barred from ownership like a returned host. Hosts that start together
    // are not established yet and do not bar each other.
    if (message.isEstablished && !isEstablished() && message.sender.dataCentre == self.dataCentre)
        m_directory.barFromOwnership(self.name, *m_startedAt + m_limits.returnBarTime);
    if (kind != GossipKind::PingRequest) {
        for (const auto& update : message.updates)
            applyUpdate(update, now);
    }
    switch (kind) {
    case GossipKind::Ping:
    case GossipKind::Join:
        // Ignore a Ping for another host that used this address before, so that the other host is detected as gone.
        if (message.subject != self.name)
            return;
        send(senderAddress, sender, GossipKind::Ack, message.sequence, self.name);
        if (kind == GossipKind::Join)
            sendMembers(senderAddress);
        return;
    case GossipKind::PingRequest: {
        if (message.updates.empty() || !isValidUpdate(message.updates.front()))
            return;
        const auto sequence = ++m_sequence;
        m_relayed[sequence] = { senderAddress, message.sequence, now };
        send(addressOf(message.updates.front()), message.subject, GossipKind::Ping, sequence, message.subject);
        return;
    }
    case GossipKind::Ack: {
        const auto relayed = m_relayed.find(message.sequence);
        if (relayed != m_relayed.end()) {
            send(relayed->second.requester, {}, GossipKind::Ack, relayed->second.requesterSequence, message.subject);
            m_relayed.erase(relayed);
        }
        const auto probe = m_probes.find(message.sequence);
        if (probe != m_probes.end() && probe->second.name == message.subject) {
            recordAck(message.subject);
            endSelfSuspicion();
        }
        return;
    }
    case GossipKind::Notice:
        return;
    }
}

bool FailureDetector::shouldTrack(const MemberUpdate& update) const
{
    const auto state = static_cast<MemberState>(update.state);
    if (state == MemberState::Gone)
        return false;
    if (update.dataCentre == m_directory.self().dataCentre)
        return true;
    const auto contacts = std::count_if(m_records.begin(), m_records.end(), [&](const auto& entry) {
        return entry.second.member.dataCentre == update.dataCentre && entry.second.machine.state() == MemberState::Live;
    });
    return state == MemberState::Live && static_cast<std::size_t>(contacts) < m_limits.contactsPerDataCentre;
}

void FailureDetector::applyUpdate(const MemberUpdate& update, Clock::time_point now)
{
    if (!isValidUpdate(update))
        return;
    if (update.name == m_directory.self().name) {
        applyUpdateToSelf(update, now);
        return;
    }
    const auto it = m_records.find(update.name);
    if (it == m_records.end()) {
        if (shouldTrack(update))
            addMember(update, now);
        return;
    }
    auto& record = it->second;
    const auto before = record.machine.state();
    const bool isNewer = update.incarnation > record.machine.incarnation();
    if (!record.machine.report(static_cast<MemberState>(update.state), update.incarnation))
        return;
    // Only the member itself raises its incarnation, when it restarts, returns or refutes a suspicion, so it is running.
    if (isNewer) {
        record.member.peerAddress = addressOf(update);
        record.suspectUntil.reset();
        std::erase_if(m_probes, [&](const auto& entry) { return entry.second.name == update.name; });
    }
    if (record.machine.state() == MemberState::Suspect && !record.suspectUntil)
        record.suspectUntil = now + m_limits.suspicionTimeout;
    const bool hasReturned = (before == MemberState::Gone || before == MemberState::Leaving) && record.machine.state() == MemberState::Live;
    if (hasReturned)
        m_directory.barFromOwnership(update.name, now + m_limits.returnBarTime);
    publishChange(record, before, now);
}

void FailureDetector::applyUpdateToSelf(const MemberUpdate& update, Clock::time_point now)
{
    const auto& self = m_directory.self();
    const auto reported = static_cast<MemberState>(update.state);
    if (reported == MemberState::Live || update.incarnation < self.incarnation)
        return;
    if (reported == MemberState::Leaving && update.incarnation == self.incarnation) {
        // Another host has read this host's leaving flag in the platform's list before this host did.
        if (!isLeaving()) {
            m_isFlaggedLeaving = true;
            m_leavingFlagSetAt = now;
            updateLeavingState(now);
        }
        return;
    }
    if (reported == MemberState::Gone)
        m_directory.barFromOwnership(self.name, now + m_limits.returnBarTime);
    const auto before = self.state;
    setSelf(isLeaving() ? MemberState::Leaving : MemberState::Live, update.incarnation + 1);
    m_changes.push_back({ m_directory.self(), before });
    notifyDataCentre();
}

void FailureDetector::addMember(const MemberUpdate& update, Clock::time_point now)
{
    Member member { update.name, update.dataCentre, addressOf(update), static_cast<MemberState>(update.state), update.incarnation };
    const auto [it, isNew] = m_records.emplace(update.name,
        Record { member, MemberStateMachine(member.state, member.incarnation), std::nullopt, now });
    if (member.state == MemberState::Suspect)
        it->second.suspectUntil = now + m_limits.suspicionTimeout;
    if (isEstablished())
        m_directory.barFromOwnership(update.name, now + m_limits.returnBarTime);
    if (!m_probeRound.empty())
        m_probeRound.insert(m_probeRound.begin() + static_cast<std::ptrdiff_t>(m_random() % m_probeRound.size()), update.name);
    publishChange(it->second, std::nullopt, now);
}

void FailureDetector::publishChange(Record& record, std::optional<MemberState> before, Clock::time_point now)
{
    record.member.state = record.machine.state();
    record.member.incarnation = record.machine.incarnation();
    if (record.member.state == MemberState::Gone) {
        record.goneAt = now;
        record.suspectUntil.reset();
    }
    if (record.member.state != MemberState::Suspect)
        record.isOwnSuspicion = record.suspectUntil.has_value();
    m_directory.put(record.member);
    // Each host chooses its own contacts in other data centres, so updates about them are not gossiped.
    if (record.member.dataCentre == m_directory.self().dataCentre)
        queueUpdate(record.member.name);
    if (before != record.member.state)
        m_changes.push_back({ record.member, before });
}

void FailureDetector::updateListedHosts(const std::vector<ListedHost>& hosts, Clock::time_point now)
{
    detectCallGap(now);
    const auto previousCandidates = std::exchange(m_candidates, {});
    std::map<std::string, std::size_t> contacts;
    for (const auto& [name, record] : m_records) {
        if (record.machine.state() == MemberState::Live)
            ++contacts[record.member.dataCentre];
    }
    auto shuffled = hosts;
    std::shuffle(shuffled.begin(), shuffled.end(), m_random);
    bool hasNewFlag = false;
    std::size_t joins = 0;
    for (const auto& host : shuffled) {
        if (host.name == m_directory.self().name) {
            applyOwnLeavingFlag(host.isLeaving, now);
            continue;
        }
        const auto it = m_records.find(host.name);
        if (it != m_records.end())
            hasNewFlag = applyLeavingFlag(it->second, host.isLeaving, now) || hasNewFlag;
        const bool isNeighbour = host.dataCentre == m_directory.self().dataCentre;
        const bool isKnown = it != m_records.end() && it->second.machine.state() != MemberState::Gone;
        if (isKnown || (!isNeighbour && contacts[host.dataCentre] >= m_limits.contactsPerDataCentre))
            continue;
        m_candidates[host.name] = host;
        if (!isNeighbour)
            ++contacts[host.dataCentre];
        // The first hosts that answer send their member lists; probeInBackground() retries the hosts that do not answer.
        if (!previousCandidates.contains(host.name) && (!isNeighbour || ++joins <= m_limits.concurrentJoins))
            send(host.peerAddress, host.name, GossipKind::Join, ++m_sequence, host.name);
    }
    if (hasNewFlag)
        notifyDataCentre();
}

bool FailureDetector::applyLeavingFlag(Record& record, bool isFlagged, Clock::time_point now)
{
    // Apply a flag only when it first appears: the list lags, and the host may have returned since.
    const bool isNew = isFlagged && !record.wasListedLeaving;
    record.wasListedLeaving = isFlagged;
    const auto before = record.machine.state();
    if (!isNew || !record.machine.report(MemberState::Leaving, record.machine.incarnation()))
        return false;
    publishChange(record, before, now);
    return true;
}

void FailureDetector::applyOwnLeavingFlag(bool isFlagged, Clock::time_point now)
{
    if (isFlagged) {
        m_hasReadOwnLeavingFlag = true;
        m_isFlaggedLeaving = true;
        m_leavingFlagSetAt = now;
        updateLeavingState(now);
        return;
    }
    // Keep a flag that was received through gossip until the list that this host reads cannot be older than the flag.
    if (!m_isFlaggedLeaving || (!m_hasReadOwnLeavingFlag && now - m_leavingFlagSetAt < m_limits.maxListLag))
        return;
    m_hasReadOwnLeavingFlag = false;
    m_isFlaggedLeaving = false;
    updateLeavingState(now);
}

void FailureDetector::startLeaving(Clock::time_point now)
{
    m_isDraining = true;
    updateLeavingState(now);
    // Notify on each call, since a datagram may be lost.
    notifyDataCentre();
}

void FailureDetector::updateLeavingState(Clock::time_point now)
{
    const auto self = m_directory.self();
    if (isLeaving() == (self.state == MemberState::Leaving))
        return;
    // A return needs a higher incarnation, since Leaving overrides Live with an equal incarnation.
    setSelf(isLeaving() ? MemberState::Leaving : MemberState::Live, isLeaving() ? self.incarnation : self.incarnation + 1);
    if (!isLeaving())
        m_directory.barFromOwnership(self.name, now + m_limits.returnBarTime);
    m_changes.push_back({ m_directory.self(), self.state });
    notifyDataCentre();
}

void FailureDetector::announceGone()
{
    setSelf(MemberState::Gone, m_directory.self().incarnation);
    notifyDataCentre();
}

void FailureDetector::setSelf(MemberState state, std::uint64_t incarnation)
{
    auto self = m_directory.self();
    self.state = state;
    self.incarnation = incarnation;
    m_directory.put(std::move(self));
}

void FailureDetector::notifyDataCentre()
{
    for (const auto& name : presentNeighbours({}))
        send(m_records.at(name).member.peerAddress, name, GossipKind::Notice, 0, {});
}

MemberUpdate FailureDetector::selfUpdate() const
{
    const auto& self = m_directory.self();
    // A host's suspicion of itself is not gossiped: other members decide from their own probes.
    const auto state = self.state == MemberState::Suspect ? MemberState::Live : self.state;
    return { self.name, self.dataCentre, self.peerAddress.ip, self.peerAddress.port, static_cast<std::uint8_t>(state), self.incarnation };
}

bool FailureDetector::isEstablished() const
{
    return m_startedAt && m_lastCallAt && *m_lastCallAt - *m_startedAt > m_limits.returnBarTime + m_limits.startSkew;
}

Gossip FailureDetector::makeGossip(GossipKind kind) const
{
    Gossip message;
    message.kind = static_cast<std::uint8_t>(kind);
    message.sender = selfUpdate();
    message.isEstablished = isEstablished();
    message.tablesRevision = m_tablesRevision;
    return message;
}

MemberUpdate FailureDetector::updateOf(const Record& record)
{
    const auto& member = record.member;
    return { member.name, member.dataCentre, member.peerAddress.ip, member.peerAddress.port, static_cast<std::uint8_t>(member.state), member.incarnation };
}

void FailureDetector::queueUpdate(const std::string& name)
{
    std::erase_if(m_updates, [&](const PendingUpdate& update) { return update.name == name; });
    m_updates.push_front({ name, 0 });
}

std::vector<MemberUpdate> FailureDetector::chooseUpdates(const std::string& receiver)
{
    std::vector<MemberUpdate> out;
    std::size_t bytes = 0;
    std::vector<std::string> chosen { receiver };
    const auto choose = [&](const std::string& name) {
        const auto it = m_records.find(name);
        if (it == m_records.end())
            return true;
        auto update = updateOf(it->second);
        if (out.size() >= m_limits.maxUpdatesPerDatagram || bytes + wireBytes(update) > maxUpdateBytesPerDatagram)
            return false;
        bytes += wireBytes(update);
        out.push_back(std::move(update));
        chosen.push_back(name);
        return true;
    };
    // Send a receiver its own record if its state is not Live, so that it can refute the state.
    const auto record = m_records.find(receiver);
    if (record != m_records.end() && record->second.machine.state() != MemberState::Live)
        choose(receiver);
    const auto limit = static_cast<int>(std::ceil(transmissionsPerLog * std::log2(static_cast<double>(m_records.size()) + 2)));
    for (auto& update : m_updates) {
        if (update.name != receiver && choose(update.name))
            ++update.transmissions;
    }
    std::erase_if(m_updates, [&](const PendingUpdate& update) { return update.transmissions >= limit; });
    std::stable_sort(m_updates.begin(), m_updates.end(), [](const auto& a, const auto& b) { return a.transmissions < b.transmissions; });
    for (std::size_t i = 0; i < m_limits.repeatedUpdates && !m_records.empty(); ++i) {
        auto it = m_records.upper_bound(m_lastRepeated);
        if (it == m_records.end())
            it = m_records.begin();
        m_lastRepeated = it->first;
        if (isPresentNeighbour(it->second) && std::find(chosen.begin(), chosen.end(), it->first) == chosen.end())
            choose(it->first);
    }
    return out;
}

void FailureDetector::send(const Address& to, const std::string& receiver, GossipKind kind, std::uint32_t sequence, std::string subject)
{
    auto message = makeGossip(kind);
    message.sequence = sequence;
    message.subject = std::move(subject);
    message.updates = chooseUpdates(receiver);
    m_outgoing.push_back({ to, std::move(message) });
}

void FailureDetector::sendMembers(const Address& to)
{
    auto message = makeGossip(GossipKind::Notice);
    const auto flush = [&] {
        if (!message.updates.empty())
            m_outgoing.push_back({ to, message });
        message.updates.clear();
    };
    std::size_t bytes = 0;
    for (const auto& [name, record] : m_records) {
        if (!isPresentNeighbour(record))
            continue;
        auto update = updateOf(record);
        if (message.updates.size() == m_limits.maxUpdatesPerDatagram || bytes + wireBytes(update) > maxUpdateBytesPerDatagram) {
            flush();
            bytes = 0;
        }
        bytes += wireBytes(update);
        message.updates.push_back(std::move(update));
    }
    flush();
}

std::vector<OutgoingGossip> FailureDetector::takeOutgoing()
{
    return std::exchange(m_outgoing, {});
}

std::vector<MemberChange> FailureDetector::takeChanges()
{
    return std::exchange(m_changes, {});
}

}
