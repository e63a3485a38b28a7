#pragma once

#include "chiveshelf/peer/MessageType.h"

#include <cstdint>
#include <string>

namespace chiveshelf {

// The part of a response that is kept and sent again to a retry.
struct RecordedOutcome {
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
    // False when the body was too long to be kept.
    bool isKept = true;

    auto operator<=>(const RecordedOutcome&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(status, contentType, body, isKept);
    }
};

enum class ClaimState : std::uint8_t {
    // The attempt owns the key and may run.
    Granted = 1,
    // Another attempt owns the key and may still be running.
    InProgress = 2,
    // Another attempt may have run, and nobody will learn its outcome any more.
    Unknown = 3,
    // An earlier attempt ran; its outcome is in the reply.
    Completed = 4,
    // The key stands for another request.
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

// Asks for a key on behalf of one attempt. Asking again with the same attempt id gives the same answer.
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

enum class AttemptEnd : std::uint8_t {
    Completed = 1,
    // Nothing was sent to a runner and nothing will be: the key may be claimed again.
    Abandoned = 2,
    Unknown = 3,
};

struct CompletionReply {
    template <typename Archive>
    void serialize(Archive&)
    {
    }
};

// Records how an attempt ended. It changes the record of that attempt only.
struct CompleteKey {
    static constexpr auto messageType = peer::MessageType::CompleteKey;
    using Reply = CompletionReply;

    std::string organisation;
    std::string key;
    std::string attemptId;
    std::string fingerprint;
    AttemptEnd end = AttemptEnd::Unknown;
    RecordedOutcome outcome;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(organisation, key, attemptId, fingerprint, end, outcome);
    }
};

}
