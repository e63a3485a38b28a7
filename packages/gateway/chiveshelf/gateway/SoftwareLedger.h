#pragma once

#include "chiveshelf/gateway/RolloutLeader.h"

namespace chiveshelf {

// Keeps in the key-value store which software versions have served each pool within a stream's lifetime, so that hosts which start
// after the loss of all others know it. Runs on all hosts; the one that holds the leader's lease writes, and only when a version has
// come or gone, or the store was restored.
class SoftwareLedger {
public:
    SoftwareLedger(boost::asio::io_context&, platform::StoreClient&, ServingState&, const StoreFollower&, const RolloutLeader&);
    SoftwareLedger(const SoftwareLedger&) = delete;
    SoftwareLedger& operator=(const SoftwareLedger&) = delete;

    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> write(std::string pool, SoftwareRecord);

    boost::asio::io_context& m_context;
    platform::StoreClient& m_store;
    ServingState& m_state;
    const StoreFollower& m_follower;
    const RolloutLeader& m_leader;
};

// Prefix of the keys of SoftwareRecords, before the pool's name.
constexpr std::string_view softwareKeyPrefix = "software/";

// Convert a record to the text of its item and back. decodeSoftwareRecord() returns nothing if the text is malformed.
std::string encodeSoftwareRecord(const SoftwareRecord&);
std::optional<SoftwareRecord> decodeSoftwareRecord(std::string_view);

}
