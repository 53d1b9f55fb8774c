#include "raw_callers.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace lacewing::fuzz
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using Tcp = asio::ip::tcp;

class RawCallers::Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(RawCallers &callers)
        : callers_(&callers)
        , loop_(callers.loop_)
        , socket_(loop_.ioContext())
    {
    }

    void start()
    {
        if (callers_ == nullptr) {
            return;
        }
        input_ = callers_->next_();
        const auto round = ++round_;
        timer_ = loop_.timers().once(loop_.clock().now() + input_.patience,
                                     [self = shared_from_this(), round](Time) { self->finish(round, false); });
        if (socket_.is_open() && input_.address == address_) {
            write(round);
            return;
        }
        disconnect();
        address_ = input_.address;
        const auto address = net::parseAddress(address_).value();
        socket_.async_connect({ asio::ip::make_address(address.ip), address.port },
                              [self = shared_from_this(), round](const ErrorCode &error) {
                                  if (error) {
                                      self->finish(round, false);
                                  } else {
                                      self->write(round);
                                  }
                              });
    }

    void stop()
    {
        callers_ = nullptr;
        loop_.timers().cancel(timer_);
        disconnect();
    }

private:
    void disconnect()
    {
        ErrorCode ignored;
        socket_.close(ignored);
        buffer_.clear();
    }

    void write(std::uint64_t round)
    {
        if (round != round_ || callers_ == nullptr) {
            return;
        }
        parser_.emplace();
        parser_->eager(true);
        asio::async_write(socket_,
                          asio::buffer(input_.bytes),
                          [self = shared_from_this(), round](const ErrorCode &error, std::size_t) {
                              if (self->callers_ != nullptr && !error) {
                                  ++self->callers_->sentCount_;
                              }
                          });
        read(round);
    }

    void read(std::uint64_t round)
    {
        constexpr std::size_t readBytes = 16'384;
        socket_.async_read_some(buffer_.prepare(readBytes),
                                [self = shared_from_this(), round](const ErrorCode &error, std::size_t size) {
                                    self->readDone(round, error, size);
                                });
    }

    void readDone(std::uint64_t round, const ErrorCode &error, std::size_t size)
    {
        if (round != round_ || callers_ == nullptr) {
            return;
        }
        if (error) {
            finish(round, false);
            return;
        }
        buffer_.commit(size);
        ErrorCode parseError;
        buffer_.consume(parser_->put(buffer_.data(), parseError));
        if (parseError && parseError != http::error::need_more) {
            finish(round, false);
        } else if (parser_->is_done()) {
            ++callers_->answerCount_;
            finish(round, parser_->get().keep_alive() && buffer_.size() == 0);
        } else {
            read(round);
        }
    }

    void finish(std::uint64_t round, bool isKept)
    {
        if (round != round_ || callers_ == nullptr) {
            return;
        }
        loop_.timers().cancel(timer_);
        if (!isKept) {
            disconnect();
        }
        asio::post(loop_.ioContext(), [self = shared_from_this()] { self->start(); });
    }

    RawCallers *callers_; ///< null once it has stopped
    net::EventLoop &loop_;
    Tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    Input input_;
    std::string address_;
    std::uint64_t round_ = 0;
    TimerHandle timer_;
};

RawCallers::RawCallers(net::EventLoop &loop, std::size_t connections, std::function<Input()> next)
    : loop_(loop)
    , next_(std::move(next))
{
    for (std::size_t count = 0; count < connections; ++count) {
        const auto connection = std::make_shared<Connection>(*this);
        connections_.insert(connection);
        connection->start();
    }
}

RawCallers::~RawCallers()
{
    for (const auto &connection : connections_) {
        connection->stop();
    }
}

} // namespace lacewing::fuzz
