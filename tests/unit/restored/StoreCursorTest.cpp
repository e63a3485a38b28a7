#include "chiveshelf/gateway/StoreCursor.h"
#include "chiveshelf/gateway/ChangeLog.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace {

using namespace chiveshelf;

// Simulates a store that is restored from copies, two hosts that watch it, and hosts that hear of it from these. Calls, answers and
// notices take random times, so that they overtake each other and the restores; notices get lost. Times are in ms.
class StoreSimulation {
public:
    static constexpr int hostCount = 8;
    static constexpr int watcherCount = 2;

    explicit StoreSimulation(unsigned seed)
        : m_random(seed)
        , m_hosts(hostCount)
    {
    }

    // Plays 60 s with changes and restores and 20 s without. Returns whether all hosts know the store's items then, and none went back.
    bool run()
    {
        for (int i = 0; i < hostCount; ++i)
            after(within(0, 300), [this, i] { act(i); });
        after(0, [this] { change(); });
        after(3'000, [this] { takeCopy(); });
        while (!m_events.empty() && m_now < endMs) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        return m_wentBack == 0 && std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto& host) { return host.items == m_store.items; });
    }

    int restores() const { return m_restores; }

private:
    static constexpr int quietFromMs = 60'000;
    static constexpr int endMs = 80'000;

    // A value is its revision and era, so that equal values mean the same write.
    struct Store {
        StorePosition position { 1, 1 };
        std::map<std::string, std::pair<StoreEra, Revision>> items;
        std::vector<ItemChange> history;
    };

    struct Host {
        StoreCursor cursor;
        ChangeLog log;
        std::map<std::string, std::pair<StoreEra, Revision>> items;
        bool isBusy = false;
        bool isRequesting = false;
    };

    struct Event {
        int at = 0;
        int number = 0;
        std::function<void()> run;

        bool operator<(const Event& other) const { return std::pair(other.at, other.number) < std::pair(at, number); }
    };

    int within(int least, int most) { return std::uniform_int_distribution<int>(least, most)(m_random); }
    // Most messages take milliseconds, some take seconds.
    int delay() { return within(0, 9) == 0 ? within(0, 2'500) : within(1, 20); }

    void after(int ms, std::function<void()> run)
    {
        m_events.push({ m_now + ms, ++m_eventCount, std::move(run) });
    }

    void change()
    {
        if (m_now >= quietFromMs)
            return;
        const int burst = within(0, 20) == 0 ? 60 : 1;
        for (int i = 0; i < burst; ++i)
            write("key" + std::to_string(within(0, 11)), within(0, 4) == 0);
        after(within(5, 400), [this] { change(); });
    }

    void write(const std::string& key, bool isRemoval)
    {
        ++m_store.position.revision;
        if (isRemoval)
            m_store.items.erase(key);
        else
            m_store.items[key] = { m_store.position.era, m_store.position.revision };
        m_store.history.push_back({ StoredItem { key, std::to_string(m_store.position.era), m_store.position.revision }, isRemoval });
    }

    void takeCopy()
    {
        if (m_now >= quietFromMs)
            return;
        m_copy = m_store;
        after(within(200, 6'000), [this] {
            const auto era = m_store.position.era;
            m_store = m_copy;
            m_store.position.era = era + 1;
            ++m_restores;
            // The new revisions often overtake the old ones before a host asks again.
            for (int i = within(0, 80); i > 0; --i)
                write("key" + std::to_string(within(0, 11)), within(0, 4) == 0);
            after(within(200, 6'000), [this] { takeCopy(); });
        });
    }

    // One step of a host: a full read if it needs one, otherwise a watch if it is one of those that watch.
    void act(int i)
    {
        auto& host = m_hosts[i];
        if (host.isBusy || (!host.cursor.mustRead() && i >= watcherCount)) {
            after(50, [this, i] { act(i); });
            return;
        }
        host.isBusy = true;
        if (host.cursor.mustRead())
            after(delay(), [this, i] { answerRead(i); });
        else
            after(delay(), [this, i, from = host.cursor.position()] { answerWatch(i, from, m_now + 600); });
    }

    void answerRead(int i)
    {
        after(delay(), [this, i, position = m_store.position, items = m_store.items] {
            auto& host = m_hosts[i];
            const auto before = host.cursor.position();
            host.isBusy = false;
            if (host.cursor.finishRead(position)) {
                host.items = items;
                checkOrder(before, host.cursor.position());
            }
            act(i);
        });
    }

    void answerWatch(int i, StorePosition from, int until)
    {
        const bool isGone = from.revision > m_store.position.revision;
        if (!isGone && from.revision == m_store.position.revision && m_now < until) {
            after(20, [this, i, from, until] { answerWatch(i, from, until); });
            return;
        }
        ChangeBatch batch { {}, m_store.position };
        for (const auto& change : m_store.history) {
            if (change.item.revision > from.revision)
                batch.changes.push_back(change);
        }
        after(delay(), [this, i, from, batch, isGone] { onWatched(i, from, batch, isGone); });
    }

    void onWatched(int i, StorePosition from, const ChangeBatch& batch, bool isGone)
    {
        auto& host = m_hosts[i];
        host.isBusy = false;
        if (isGone) {
            host.cursor.noteEra(batch.position.era);
            host.cursor.requireRead();
        } else if (host.cursor.continues(from, batch.position)) {
            apply(host, from, batch);
            announce(i, from, batch);
        }
        act(i);
    }

    void apply(Host& host, StorePosition from, const ChangeBatch& batch)
    {
        const auto before = host.cursor.position();
        for (const auto& change : batch.changes) {
            if (change.item.revision <= before.revision)
                continue;
            if (change.isRemoval)
                host.items.erase(change.item.key);
            else
                host.items[change.item.key] = { std::stoull(change.item.value), change.item.revision };
        }
        host.log.add(from, batch.position, batch.changes);
        host.cursor.advance(batch.position);
        checkOrder(before, host.cursor.position());
    }

    void announce(int sender, StorePosition from, const ChangeBatch& batch)
    {
        const bool hasChanges = batch.changes.size() < 20;
        for (int i = 0; i < hostCount; ++i) {
            if (i != sender && within(0, 9) != 0)
                after(delay(), [this, i, sender, from, batch, hasChanges] { onNotice(i, sender, from, batch, hasChanges); });
        }
    }

    void onNotice(int i, int sender, StorePosition from, const ChangeBatch& batch, bool hasChanges)
    {
        auto& host = m_hosts[i];
        const auto step = host.cursor.onNotice(from, batch.position, hasChanges);
        if (host.isBusy && host.cursor.mustRead())
            return;
        if (step == StoreCursor::Step::Confirm)
            host.cursor.confirm();
        if (step == StoreCursor::Step::Apply) {
            host.cursor.confirm();
            apply(host, from, batch);
        }
        if (step == StoreCursor::Step::Request && !std::exchange(host.isRequesting, true))
            after(delay(), [this, i, sender, position = host.cursor.position()] { answerRequest(i, sender, position); });
    }

    void answerRequest(int i, int sender, StorePosition position)
    {
        after(delay(), [this, i, position, batch = m_hosts[sender].log.since(position)] {
            auto& host = m_hosts[i];
            host.isRequesting = false;
            if (host.cursor.mustRead() || host.cursor.position() != position)
                return;
            if (!batch || !host.cursor.continues(position, batch->position))
                host.cursor.requireRead();
            else
                apply(host, position, *batch);
        });
    }

    void checkOrder(StorePosition before, StorePosition now)
    {
        m_wentBack += now < before ? 1 : 0;
    }

    std::mt19937 m_random;
    int m_now = 0;
    int m_eventCount = 0;
    int m_restores = 0;
    int m_wentBack = 0;
    std::priority_queue<Event> m_events;
    Store m_store;
    Store m_copy;
    std::vector<Host> m_hosts;
};

class StoreCursorTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreCursorTest);
    CPPUNIT_TEST(noticeOfEarlierEraIsIgnored);
    CPPUNIT_TEST(noticeOfLaterEraRequiresReadWhateverItsRevision);
    CPPUNIT_TEST(noticeWithoutGapDoesNotReplaceReadOfLaterEra);
    CPPUNIT_TEST(readFromBeforeTheRestoreIsVoid);
    CPPUNIT_TEST(hostsOfAnyOrderOfArrivalEndWithTheItemsOfTheStore);
    CPPUNIT_TEST_SUITE_END();

public:
    void noticeOfEarlierEraIsIgnored()
    {
        auto cursor = cursorAt({ 2, 10 });
        CPPUNIT_ASSERT(cursor.onNotice({ 1, 9 }, { 1, 90 }, true) == StoreCursor::Step::Ignore);
        CPPUNIT_ASSERT((cursor.position() == StorePosition { 2, 10 }));
        CPPUNIT_ASSERT(!cursor.mustRead());
    }

    void noticeOfLaterEraRequiresReadWhateverItsRevision()
    {
        for (const Revision revision : { 5, 10, 90 }) {
            auto cursor = cursorAt({ 1, 10 });
            CPPUNIT_ASSERT(cursor.onNotice({ 2, revision - 1 }, { 2, revision }, true) == StoreCursor::Step::Read);
            CPPUNIT_ASSERT(cursor.mustRead());
        }
    }

    // A late notice of the host's own era must not make it skip the read.
    void noticeWithoutGapDoesNotReplaceReadOfLaterEra()
    {
        auto cursor = cursorAt({ 1, 10 });
        cursor.noteEra(2);
        CPPUNIT_ASSERT(cursor.onNotice({ 1, 10 }, { 1, 11 }, true) == StoreCursor::Step::Ignore);
        cursor.confirm();
        CPPUNIT_ASSERT(cursor.mustRead());
    }

    void readFromBeforeTheRestoreIsVoid()
    {
        auto cursor = cursorAt({ 1, 10 });
        cursor.noteEra(2);
        CPPUNIT_ASSERT(!cursor.finishRead({ 1, 30 }));
        CPPUNIT_ASSERT(cursor.mustRead());
        CPPUNIT_ASSERT(cursor.finishRead({ 2, 4 }));
        CPPUNIT_ASSERT(!cursor.mustRead());
    }

    void hostsOfAnyOrderOfArrivalEndWithTheItemsOfTheStore()
    {
        const char* more = std::getenv("CHIVESHELF_TEST_SEEDS");
        const unsigned seeds = more ? static_cast<unsigned>(std::atoi(more)) : 100;
        int restores = 0;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            StoreSimulation simulation(seed);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), simulation.run());
            restores += simulation.restores();
        }
        CPPUNIT_ASSERT(restores > static_cast<int>(5 * seeds));
    }

private:
    static StoreCursor cursorAt(StorePosition position)
    {
        StoreCursor cursor;
        CPPUNIT_ASSERT(cursor.finishRead(position));
        return cursor;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreCursorTest);

}
