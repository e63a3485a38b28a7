#pragma once

#include "chiveshelf/http/Server.h"

#include <functional>
#include <memory>

namespace chiveshelf {

// Finds out that a caller has gone while nothing is written to it: in the queue, before the first token and between tokens.
// Construct it for the time of the wait; `onGone` is called at most once, and not after the destructor.
class CallerWatch {
public:
    CallerWatch(boost::asio::any_io_executor, http::Exchange&, std::function<void()> onGone);
    ~CallerWatch();
    CallerWatch(const CallerWatch&) = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

    bool hasGone() const { return m_state->hasGone; }

private:
    struct State {
        http::Exchange* exchange = nullptr;
        std::function<void()> onGone;
        bool hasGone = false;
        bool isEnded = false;
    };

    static boost::asio::awaitable<void> poll(std::shared_ptr<State>);

    std::shared_ptr<State> m_state;
};

}
