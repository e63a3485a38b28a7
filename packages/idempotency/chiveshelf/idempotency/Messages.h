#pragma once

#include "chiveshelf/peer/MessageType.h"

#include <cstdint>
#include <string>

namespace chiveshelf {

// The part of a response that is recorded and sent again in reply to a retry.
struct RecordedOutcome {
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    // False if the body was too long to be stored.
    bool isBodyStored = true;

    auto operator<=>(const RecordedOutcome&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(status, contentType, body, isBodyStored);
    }
};

enum class ClaimState : std::uint8_t {
    // The attempt owns the key and may run.
    Granted = 1,
    // Another attempt owns the key and may still be running.
    InProgress = 2,
    // Another attempt may have run, and its outcome cannot be determined any more.
    Unknown = 3,
    // An earlier attempt ran; its outcome is in the reply.
    Completed = 4,
    // The key was claimed for a request with another fingerprint.
    KeyReused = 5,
    // This attempt was abandoned before its claim was written.
    Withdrawn = 6,
};

struct ClaimReply {
    ClaimState state = ClaimState::Unknown;
    RecordedOutcome outcome;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(state, outcome);
    }
};

// Claims a key for one attempt. Can be repeated with the same attempt id.
struct ClaimKey {
    static constexpr auto messageType = peer::MessageType::ClaimKey;
    using Reply = ClaimReply;

    std::string organisation;
    std::string key;
    std::string attemptId;
    // Hash of method, target and body.
    std::string fingerprint;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(organisation, key, attemptId, fingerprint);
    }
};

enum class AttemptResult : std::uint8_t {
    Completed = 1,
    // Nothing was or will be sent to a runner, so the key can be claimed again.
    Abandoned = 2,
    Unknown = 3,
};

struct CompletionReply {
    template <typename Archive>
    void serialize(Archive&)
    {
    }
};

// Records the result of an attempt. Changes the record of that attempt only.
struct CompleteKey {
    static constexpr auto messageType = peer::MessageType::CompleteKey;
    using Reply = CompletionReply;

    std::string organisation;
    std::string key;
    std::string attemptId;
    std::string fingerprint;
    AttemptResult result = AttemptResult::Unknown;
    RecordedOutcome outcome;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(organisation, key, attemptId, fingerprint, result, outcome);
    }
};

}
