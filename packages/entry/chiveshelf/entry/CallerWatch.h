#pragma once

#include "chiveshelf/http/Server.h"

#include <functional>
#include <memory>

namespace chiveshelf {

// Detects that a caller has disconnected while nothing is written to it: in the queue, before the first token and between tokens.
// The caller is polled during the object's lifetime. `onDisconnect` is called at most once, and not after the destructor.
class CallerWatch {
public:
    CallerWatch(boost::asio::any_io_executor, http::Exchange&, std::function<void()> onDisconnect);
    ~CallerWatch();
    CallerWatch(const CallerWatch&) = delete;
    CallerWatch& operator=(const CallerWatch&) = delete;

    bool hasDisconnected() const { return m_state->hasDisconnected; }

private:
    struct State {
        http::Exchange* exchange = nullptr;
        std::function<void()> onDisconnect;
        bool hasDisconnected = false;
        bool isStopped = false;
    };

    static boost::asio::awaitable<void> poll(std::shared_ptr<State>);

    std::shared_ptr<State> m_state;
};

}
