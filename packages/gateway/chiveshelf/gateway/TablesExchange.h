#pragma once

#include "chiveshelf/gateway/ServingState.h"
#include "chiveshelf/gateway/TablesFetch.h"
#include "chiveshelf/gateway/TablesOffer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chiveshelf {

// Spreads the routing tables between hosts as updates from version to version, so that few of them read the text from the key-value
// store. One update is fetched at a time; see TablesFetch. Hosts that have just got an update serve it to others; see TablesOffer.
class TablesExchange {
public:
    // How requests reach other hosts and the store.
    struct Port {
        // Requests a piece from the host with this IP address.
        std::function<boost::asio::awaitable<Result<TablesPiece>>(std::string ip, PullTablesPiece)> pull;
        // Reads the text of the tables from the store and applies it.
        std::function<boost::asio::awaitable<void>()> readStore;
    };

    TablesExchange(boost::asio::io_context&, const GatewaySettings&, ServingState&, Port);

    void start();
    void stop();

    // Handles the news that a host has tables of this version. They are fetched after `delay` if this host has no newer ones then.
    void onNews(const std::string& ip, std::uint64_t version, std::chrono::milliseconds delay);

    // Answers the request of another host, in its turn.
    boost::asio::awaitable<TablesPiece> answer(PullTablesPiece);

    // Returns the time since the first news of tables newer than this host's, 0 if there was none.
    std::chrono::milliseconds sinceNews() const;

    // What this host has served.
    const TablesOffer::Counts& counts() const { return m_offer.counts(); }

private:
    boost::asio::awaitable<void> run();
    // Does the next step of the fetch. Returns false if there is nothing to fetch.
    boost::asio::awaitable<bool> step();
    boost::asio::awaitable<void> ask(TablesFetch::Ask);
    void apply(const TablesFetch::Update&);
    boost::asio::awaitable<void> sleepUntil(TimePoint);

    boost::asio::io_context& m_context;
    const GatewaySettings& m_settings;
    ServingState& m_state;
    Port m_port;
    TablesFetch m_fetch;
    TablesOffer m_offer;
    // Paces the pieces that this host receives.
    TransferPace m_receivePace;
    // Ends early when there are news.
    boost::asio::steady_timer m_news;
    bool m_isStopped = false;
};

}
