#pragma once

#include <map>
#include <optional>
#include <string>

// Small blocking HTTP/1.1 helpers for the stand-ins of the review.
namespace review {

struct Message {
    // The words of the first line: method, target and version, or version, status and reason.
    std::string first;
    std::string second;
    // Names are in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const;
};

// A connected socket with the bytes that were read ahead. Closes the socket.
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    int fd() const { return m_fd; }
    void setReadTimeout(int ms) const;
    bool write(const std::string& bytes) const;

    // Reads a whole message. Returns nullopt if the connection ended or timed out before its end.
    std::optional<Message> read();
    // Whether the last read ended by its timeout.
    bool hasTimedOut() const { return m_hasTimedOut; }

private:
    bool readMore();
    bool readChunks(std::string& body);

    int m_fd;
    std::string m_buffer;
    bool m_hasTimedOut = false;
};

// Returns a listening socket, or -1. Port 0 chooses a free port.
int listenOn(const std::string& ip, int port);
int portOf(int fd);
// Returns a port that is free on this address now.
int freePort(const std::string& ip);
// Returns a connected socket, or -1.
int connectTo(const std::string& ip, int port);

std::string responseText(int status, const std::string& body, const std::string& moreHeaders = {});

}
