#pragma once

#include "chiveshelf/http/Server.h"

#include <map>
#include <memory>

namespace fakes {

// Capacities and transfer speeds of a fake store.
struct FakeStoreSettings {
    std::int64_t memoryBytes = 64 * 1024 * 1024;
    std::int64_t diskBytes = 256 * 1024 * 1024;
    // Bandwidth of the link, shared by all transfers in both directions, in bytes/s.
    std::int64_t linkBytesPerSecond = 200 * 1024 * 1024;
    // Speed at which blocks of the disk tier are read, in bytes/s.
    std::int64_t diskBytesPerSecond = 100 * 1024 * 1024;
};

// Faults that a test sets with PUT /control/faults. The counts of reads decrease with each read that a fault has affected.
struct StoreFaults {
    // Number of reads that return half of the block in a response that ends normally.
    int truncatedReads = 0;
    // Number of reads that return the data of another block.
    int swappedReads = 0;
    // Number of reads during which the block is evicted; the connection is aborted after half of the data.
    int evictedReads = 0;
    // Refuses every write with 507.
    bool isFull = false;
    // Replaces the link's bandwidth if above 0, in bytes/s.
    std::int64_t linkBytesPerSecond = 0;
    // Delay of every response, in ms.
    std::int64_t delayMs = 0;
};

// Fake of a store host with a memory tier and a disk tier behind one link. A block can be read only after its commit. The least
// recently used blocks move from memory to disk, and are evicted from there.
class FakeStore {
public:
    FakeStore(boost::asio::io_context&, FakeStoreSettings);

    chiveshelf::Result<void> start(const chiveshelf::Address&);

private:
    using Data = std::shared_ptr<const std::string>;

    struct Block {
        Data data;
        std::int64_t length = 0;
        std::string checksum;
        bool isCommitted = false;
        bool isOnDisk = false;
        std::uint64_t lastUse = 0;
    };

    boost::asio::awaitable<void> handle(chiveshelf::http::Exchange&);
    boost::asio::awaitable<chiveshelf::http::Response> put(std::string key, const chiveshelf::http::Request&, std::int64_t generation);
    boost::asio::awaitable<void> get(chiveshelf::http::Exchange&, std::string key, std::int64_t generation);
    chiveshelf::http::Response commit(const std::string& key, std::int64_t generation);
    chiveshelf::http::Response lookUp(const std::string& body);
    chiveshelf::http::Response status() const;
    chiveshelf::http::Response handleControl(const chiveshelf::http::Target&, const chiveshelf::http::Request&);
    boost::asio::awaitable<void> transfer(std::int64_t bytes);
    std::int64_t tierBytes(bool isOnDisk) const;
    void evictOverLimits();

    boost::asio::io_context& m_context;
    FakeStoreSettings m_settings;
    StoreFaults m_faults;
    chiveshelf::http::Server m_server;
    std::map<std::string, Block> m_blocks;
    std::int64_t m_generation;
    std::uint64_t m_useCount = 0;
    std::map<std::string, std::int64_t> m_counters;
    std::chrono::steady_clock::time_point m_linkFreeAt;
};

}
