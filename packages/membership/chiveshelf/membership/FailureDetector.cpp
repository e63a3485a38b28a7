#include "chiveshelf/membership/FailureDetector.h"

#include <algorithm>
#include <cmath>

namespace chiveshelf {

namespace {

    // Each update is sent this many times the logarithm of the number of members, which reaches all with high probability.
    constexpr double transmissionsPerLog = 3.0;
    // Probes for others are forgotten after this time.
    constexpr auto relayLifetime = std::chrono::milliseconds(1'000);

    // Leaves room for the sender's own entry within a datagram.
    constexpr std::size_t updateBytesPerDatagram = 1'000;

    std::size_t wireBytes(const MemberUpdate& update)
    {
        constexpr std::size_t fixedBytes = 14;
        return update.name.size() + update.dataCentre.size() + update.ip.size() + fixedBytes;
    }

    Address addressOf(const MemberUpdate& update)
    {
        return { update.ip, update.port };
    }

    bool isUsable(const MemberUpdate& update)
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
    noticeGap(now);
    if (m_directory.self().state == MemberState::Suspect && now - m_selfSuspectSince > m_limits.selfSuspicion)
        endSelfSuspicion();
    checkProbes(now);
    expire(now);
    if (now >= m_nextPeriod) {
        m_nextPeriod = now + m_limits.period;
        startPeriod(now);
    }
}

void FailureDetector::noticeGap(Clock::time_point now)
{
    if (!m_startedAt)
        m_startedAt = now;
    const auto last = m_lastCall.value_or(now);
    m_lastCall = now;
    if (now - last <= m_limits.suspicion)
        return;
    // The silence was this host's own: what it missed proves nothing about others.
    m_probes.clear();
    m_relayed.clear();
    for (auto& [name, record] : m_records) {
        if (record.suspectUntil)
            record.suspectUntil = now + m_limits.suspicion;
    }
    m_selfSuspectSince = now;
    if (m_directory.self().state == MemberState::Live) {
        setSelf(MemberState::Suspect, m_directory.self().incarnation);
        m_changes.push_back({ m_directory.self(), MemberState::Live });
    }
    auto names = liveNeighbours({});
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
    ++m_periods;
    const auto target = nextTarget();
    if (!target.empty())
        probe(target, now);
    if (m_periods % m_limits.periodsPerFarProbe == 1)
        probeFarMember(now);
    // The host that suspects a member asks it again each period and so tells it of the suspicion.
    for (const auto& [name, record] : m_records) {
        if (record.isOwnSuspicion && record.suspectUntil && name != target)
            probe(name, now);
    }
    // A host without neighbours asks listed ones each period, so that it joins as soon as one answers.
    if (target.empty())
        joinCandidates();
}

void FailureDetector::joinCandidates()
{
    std::vector<std::string> names;
    for (const auto& [name, host] : m_candidates)
        names.push_back(name);
    std::shuffle(names.begin(), names.end(), m_random);
    names.resize(std::min(names.size(), m_limits.joinsAtOnce));
    for (const auto& name : names)
        send(m_candidates.at(name).peerAddress, name, GossipKind::Join, ++m_sequence, name);
}

std::string FailureDetector::nextTarget()
{
    while (true) {
        if (m_round.empty()) {
            m_round = liveNeighbours({});
            std::shuffle(m_round.begin(), m_round.end(), m_random);
            if (m_round.empty())
                return {};
        }
        const auto name = m_round.back();
        m_round.pop_back();
        const auto it = m_records.find(name);
        if (it != m_records.end() && it->second.machine.state() != MemberState::Gone)
            return name;
    }
}

bool FailureDetector::isLiveNeighbour(const Record& record) const
{
    return record.member.dataCentre == m_directory.self().dataCentre && record.machine.state() != MemberState::Gone;
}

std::vector<std::string> FailureDetector::liveNeighbours(const std::string& except) const
{
    std::vector<std::string> out;
    for (const auto& [name, record] : m_records) {
        if (name != except && isLiveNeighbour(record))
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

void FailureDetector::probeFarMember(Clock::time_point now)
{
    // Contacts in other data centres, members that are gone and listed hosts that never answered take turns.
    if (m_farRound.empty()) {
        for (const auto& [name, record] : m_records) {
            if (record.machine.state() == MemberState::Gone || record.member.dataCentre != m_directory.self().dataCentre)
                m_farRound.push_back(name);
        }
        for (const auto& [name, host] : m_candidates) {
            if (!m_records.contains(name))
                m_farRound.push_back(name);
        }
        std::shuffle(m_farRound.begin(), m_farRound.end(), m_random);
    }
    if (m_farRound.empty())
        return;
    const auto name = m_farRound.back();
    m_farRound.pop_back();
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
        if (!probe.isIndirect && now - probe.sentAt >= m_limits.directAnswer) {
            probe.isIndirect = true;
            askOthersToProbe(sequence, probe);
        }
        if (now - probe.sentAt >= m_limits.period)
            unanswered.push_back(probe.name);
    }
    std::erase_if(m_probes, [&](const auto& entry) { return now - entry.second.sentAt >= m_limits.period; });
    for (const auto& name : unanswered)
        suspect(name, now);
}

void FailureDetector::askOthersToProbe(std::uint32_t sequence, const Probe& probe)
{
    const auto target = m_records.find(probe.name);
    if (target == m_records.end())
        return;
    auto helpers = liveNeighbours(probe.name);
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
        record.suspectUntil = now + m_limits.suspicion;
    record.isOwnSuspicion = true;
    const auto before = record.machine.state();
    if (record.machine.report(MemberState::Suspect, record.machine.incarnation()))
        changed(record, before, now);
}

void FailureDetector::noteAnswer(const std::string& name)
{
    std::erase_if(m_probes, [&](const auto& entry) { return entry.second.name == name; });
    const auto it = m_records.find(name);
    // A suspicion ends only with the member's own refutation, which comes with its answer.
    if (it != m_records.end() && it->second.machine.state() == MemberState::Leaving)
        it->second.suspectUntil.reset();
}

void FailureDetector::expire(Clock::time_point now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        auto& record = it->second;
        if (record.suspectUntil && now >= *record.suspectUntil) {
            record.suspectUntil.reset();
            const auto before = record.machine.state();
            const bool isOwn = record.isOwnSuspicion;
            if (record.machine.report(MemberState::Gone, record.machine.incarnation()))
                changed(record, before, now);
            // The others are told directly: gossip needs several periods to reach all, and callers wait for this.
            if (isOwn)
                tellDataCentre();
        }
        const bool isForgotten = record.machine.state() == MemberState::Gone && now - record.goneAt > m_limits.goneRetention;
        if (isForgotten)
            m_directory.remove(it->first);
        it = isForgotten ? m_records.erase(it) : std::next(it);
    }
}

void FailureDetector::receive(const Gossip& message, Clock::time_point now)
{
    noticeGap(now);
    const auto& self = m_directory.self();
    if (!isUsable(message.sender) || message.sender.name == self.name)
        return;
    const auto sender = message.sender.name;
    // Answers go to the address that the sender advertises, which may differ from the one it sends from.
    const auto senderAddress = addressOf(message.sender);
    const auto kind = static_cast<GossipKind>(message.kind);
    apply(message.sender, now);
    // Hosts that start together bar nobody; one that joins a running data centre waits like one that returns.
    if (message.isEstablished && !isEstablished() && message.sender.dataCentre == self.dataCentre)
        m_directory.bar(self.name, *m_startedAt + m_limits.returnBar);
    if (kind != GossipKind::PingRequest) {
        for (const auto& update : message.updates)
            apply(update, now);
    }
    switch (kind) {
    case GossipKind::Ping:
    case GossipKind::Join:
        // A ping for an earlier process on this address gets no answer, so that its host is found gone.
        if (message.subject != self.name)
            return;
        send(senderAddress, sender, GossipKind::Ack, message.sequence, self.name);
        if (kind == GossipKind::Join)
            sendMembers(senderAddress);
        return;
    case GossipKind::PingRequest: {
        if (message.updates.empty() || !isUsable(message.updates.front()))
            return;
        const auto sequence = ++m_sequence;
        m_relayed[sequence] = { senderAddress, message.sequence, now };
        send(addressOf(message.updates.front()), message.subject, GossipKind::Ping, sequence, message.subject);
        return;
    }
    case GossipKind::Ack: {
        const auto relayed = m_relayed.find(message.sequence);
        if (relayed != m_relayed.end()) {
            send(relayed->second.asker, {}, GossipKind::Ack, relayed->second.askerSequence, message.subject);
            m_relayed.erase(relayed);
        }
        const auto probe = m_probes.find(message.sequence);
        if (probe != m_probes.end() && probe->second.name == message.subject) {
            noteAnswer(message.subject);
            endSelfSuspicion();
        }
        return;
    }
    case GossipKind::Notice:
        return;
    }
}

bool FailureDetector::isWanted(const MemberUpdate& update) const
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

void FailureDetector::apply(const MemberUpdate& update, Clock::time_point now)
{
    if (!isUsable(update))
        return;
    if (update.name == m_directory.self().name) {
        applyToSelf(update, now);
        return;
    }
    const auto it = m_records.find(update.name);
    if (it == m_records.end()) {
        if (isWanted(update))
            add(update, now);
        return;
    }
    auto& record = it->second;
    const auto before = record.machine.state();
    const bool isNewer = update.incarnation > record.machine.incarnation();
    if (!record.machine.report(static_cast<MemberState>(update.state), update.incarnation))
        return;
    // A higher incarnation is the member's own word: it restarted or refutes a suspicion.
    if (isNewer) {
        record.member.peerAddress = addressOf(update);
        record.suspectUntil.reset();
        std::erase_if(m_probes, [&](const auto& entry) { return entry.second.name == update.name; });
    }
    if (record.machine.state() == MemberState::Suspect && !record.suspectUntil)
        record.suspectUntil = now + m_limits.suspicion;
    const bool hasReturned = (before == MemberState::Gone || before == MemberState::Leaving) && record.machine.state() == MemberState::Live;
    if (hasReturned)
        m_directory.bar(update.name, now + m_limits.returnBar);
    changed(record, before, now);
}

void FailureDetector::applyToSelf(const MemberUpdate& update, Clock::time_point now)
{
    const auto& self = m_directory.self();
    const auto reported = static_cast<MemberState>(update.state);
    if (reported == MemberState::Live || update.incarnation < self.incarnation)
        return;
    if (reported == MemberState::Leaving && update.incarnation == self.incarnation) {
        // Others have read this host's leaving mark in the platform's list before it did.
        if (!isLeaving()) {
            m_isMarkedLeaving = true;
            m_markTakenAt = now;
            changeLeaving(now);
        }
        return;
    }
    if (reported == MemberState::Gone)
        m_directory.bar(self.name, now + m_limits.returnBar);
    const auto before = self.state;
    setSelf(isLeaving() ? MemberState::Leaving : MemberState::Live, update.incarnation + 1);
    m_changes.push_back({ m_directory.self(), before });
    tellDataCentre();
}

void FailureDetector::add(const MemberUpdate& update, Clock::time_point now)
{
    Member member { update.name, update.dataCentre, addressOf(update), static_cast<MemberState>(update.state), update.incarnation };
    const auto [it, isNew] = m_records.emplace(update.name,
        Record { member, MemberStateMachine(member.state, member.incarnation), std::nullopt, now });
    if (member.state == MemberState::Suspect)
        it->second.suspectUntil = now + m_limits.suspicion;
    if (isEstablished())
        m_directory.bar(update.name, now + m_limits.returnBar);
    if (!m_round.empty())
        m_round.insert(m_round.begin() + static_cast<std::ptrdiff_t>(m_random() % m_round.size()), update.name);
    changed(it->second, std::nullopt, now);
}

void FailureDetector::changed(Record& record, std::optional<MemberState> before, Clock::time_point now)
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
    // Contacts in other data centres are each host's own choice and are not passed on.
    if (record.member.dataCentre == m_directory.self().dataCentre)
        queueUpdate(record.member.name);
    if (before != record.member.state)
        m_changes.push_back({ record.member, before });
}

void FailureDetector::offerListed(const std::vector<ListedHost>& hosts, Clock::time_point now)
{
    noticeGap(now);
    const auto earlier = std::exchange(m_candidates, {});
    std::map<std::string, std::size_t> contacts;
    for (const auto& [name, record] : m_records) {
        if (record.machine.state() == MemberState::Live)
            ++contacts[record.member.dataCentre];
    }
    auto shuffled = hosts;
    std::shuffle(shuffled.begin(), shuffled.end(), m_random);
    bool hasNewMark = false;
    std::size_t joins = 0;
    for (const auto& host : shuffled) {
        if (host.name == m_directory.self().name) {
            takeOwnMark(host.isLeaving, now);
            continue;
        }
        const auto it = m_records.find(host.name);
        if (it != m_records.end())
            hasNewMark = takeMark(it->second, host.isLeaving, now) || hasNewMark;
        const bool isNeighbour = host.dataCentre == m_directory.self().dataCentre;
        const bool isKnown = it != m_records.end() && it->second.machine.state() != MemberState::Gone;
        if (isKnown || (!isNeighbour && contacts[host.dataCentre] >= m_limits.contactsPerDataCentre))
            continue;
        m_candidates[host.name] = host;
        if (!isNeighbour)
            ++contacts[host.dataCentre];
        // The first few that answer tell of the others; who never answers is asked again by probeFarMember().
        if (!earlier.contains(host.name) && (!isNeighbour || ++joins <= m_limits.joinsAtOnce))
            send(host.peerAddress, host.name, GossipKind::Join, ++m_sequence, host.name);
    }
    if (hasNewMark)
        tellDataCentre();
}

bool FailureDetector::takeMark(Record& record, bool isMarked, Clock::time_point now)
{
    // Only a new mark counts: the list lags, and the host may have returned since.
    const bool isNew = isMarked && !record.wasListedLeaving;
    record.wasListedLeaving = isMarked;
    const auto before = record.machine.state();
    if (!isNew || !record.machine.report(MemberState::Leaving, record.machine.incarnation()))
        return false;
    changed(record, before, now);
    return true;
}

void FailureDetector::takeOwnMark(bool isMarked, Clock::time_point now)
{
    if (isMarked) {
        m_hasSeenOwnMark = true;
        m_isMarkedLeaving = true;
        m_markTakenAt = now;
        changeLeaving(now);
        return;
    }
    // A mark that only others have seen is kept until this host's copy of the list must have caught up.
    if (!m_isMarkedLeaving || (!m_hasSeenOwnMark && now - m_markTakenAt < m_limits.listLag))
        return;
    m_hasSeenOwnMark = false;
    m_isMarkedLeaving = false;
    changeLeaving(now);
}

void FailureDetector::startLeaving(Clock::time_point now)
{
    m_isDraining = true;
    changeLeaving(now);
    // Repeated calls tell the data centre again, since a datagram may be lost.
    tellDataCentre();
}

void FailureDetector::changeLeaving(Clock::time_point now)
{
    const auto self = m_directory.self();
    if (isLeaving() == (self.state == MemberState::Leaving))
        return;
    // A return needs a higher incarnation, since a leave overrides a live state of the same one.
    setSelf(isLeaving() ? MemberState::Leaving : MemberState::Live, isLeaving() ? self.incarnation : self.incarnation + 1);
    if (!isLeaving())
        m_directory.bar(self.name, now + m_limits.returnBar);
    m_changes.push_back({ m_directory.self(), self.state });
    tellDataCentre();
}

void FailureDetector::announceGone()
{
    setSelf(MemberState::Gone, m_directory.self().incarnation);
    tellDataCentre();
}

void FailureDetector::setSelf(MemberState state, std::uint64_t incarnation)
{
    auto self = m_directory.self();
    self.state = state;
    self.incarnation = incarnation;
    m_directory.put(std::move(self));
}

void FailureDetector::tellDataCentre()
{
    for (const auto& name : liveNeighbours({}))
        send(m_records.at(name).member.peerAddress, name, GossipKind::Notice, 0, {});
}

MemberUpdate FailureDetector::selfUpdate() const
{
    const auto& self = m_directory.self();
    // The suspicion of a frozen host about itself is its own affair until others have decided.
    const auto state = self.state == MemberState::Suspect ? MemberState::Live : self.state;
    return { self.name, self.dataCentre, self.peerAddress.ip, self.peerAddress.port, static_cast<std::uint8_t>(state), self.incarnation };
}

bool FailureDetector::isEstablished() const
{
    return m_startedAt && m_lastCall && *m_lastCall - *m_startedAt > m_limits.returnBar + m_limits.startSkew;
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
        if (out.size() >= m_limits.updatesPerDatagram || bytes + wireBytes(update) > updateBytesPerDatagram)
            return false;
        bytes += wireBytes(update);
        out.push_back(std::move(update));
        chosen.push_back(name);
        return true;
    };
    // A receiver that is suspected or given up must learn it to be able to refute.
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
        if (isLiveNeighbour(it->second) && std::find(chosen.begin(), chosen.end(), it->first) == chosen.end())
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
        if (!isLiveNeighbour(record))
            continue;
        auto update = updateOf(record);
        if (message.updates.size() == m_limits.updatesPerDatagram || bytes + wireBytes(update) > updateBytesPerDatagram) {
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
