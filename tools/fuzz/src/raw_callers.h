#pragma once

#include <net/net.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace lacewing::fuzz
{

/** Bytes for one connection, which may hold a request or not. */
struct Input {
    std::string address; ///< ip:port
    std::string bytes;
    Duration patience {}; ///< time for an answer, after which the connection is closed
};

/** Sends inputs over some connections at a time, each of which is used again after a whole answer that keeps it. */
class RawCallers
{
public:
    RawCallers(net::EventLoop &loop, std::size_t connections, std::function<Input()> next);
    ~RawCallers();
    RawCallers(const RawCallers &) = delete;
    RawCallers &operator=(const RawCallers &) = delete;

    /** Returns the number of inputs that were written whole. */
    std::size_t sentCount() const noexcept
    {
        return sentCount_;
    }
    /** Returns the number of whole answers. */
    std::size_t answerCount() const noexcept
    {
        return answerCount_;
    }

private:
    class Connection;

    net::EventLoop &loop_;
    std::function<Input()> next_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::size_t sentCount_ = 0;
    std::size_t answerCount_ = 0;
};

} // namespace lacewing::fuzz
