#include "server_connection.h"

#include "http_text.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

namespace lacewing::net
{
namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t readBytes = std::size_t(16) << 10U;
/** Bytes read at a time to be thrown away. */
constexpr std::size_t lingerReadBytes = std::size_t(4) << 10U;
/** Bytes written at a time. */
constexpr std::size_t maxWriteBytes = std::size_t(64) << 10U;
/** Bytes read ahead of the request in progress before reading pauses. */
constexpr std::size_t maxReadAhead = std::size_t(16) << 10U;
/** Bytes that count as progress; fewer may be meant to hold the connection. */
constexpr std::size_t fairBytes = std::size_t(4) << 10U;
/** How long a closed sending side waits for the caller to close as well, since the last byte and in all. */
constexpr Duration lingerTime = std::chrono::seconds(2);
constexpr Duration maxLingerTime = std::chrono::seconds(10);
/** While draining, how long a connection must have been quiet before it is closed between requests. */
constexpr Duration drainQuiet = std::chrono::milliseconds(500);

/** True when the body's length is beyond doubt: no coding of the message but "chunked". */
bool hasPlainFraming(const http::request<http::string_body> &message)
{
    const auto codings = message.equal_range(http::field::transfer_encoding);
    return std::all_of(codings.first, codings.second, [](const auto &field) {
        return boost::beast::iequals(field.value(), "chunked");
    });
}

/** Returns a request without its body. */
HttpRequest toRequest(const http::request<http::string_body> &message,
                      const std::string &remoteAddress,
                      Time receivedAt)
{
    HttpRequest request;
    request.receivedAt = receivedAt;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    request.remoteAddress = remoteAddress;
    return request;
}

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerShared> shared, asio::ip::tcp::socket socket)
    : shared_(std::move(shared))
    , socket_(std::move(socket))
    , lastProgress_(shared_->loop.clock().now())
    , lastFairProgress_(lastProgress_)
{
    ErrorCode error;
    socket_.set_option(asio::ip::tcp::no_delay(true), error);
    socket_.set_option(asio::socket_base::keep_alive(true), error);
    const auto remote = socket_.remote_endpoint(error);
    if (!error) {
        remoteAddress_ = toText(SocketAddress { remote.address().to_string(), remote.port() });
    }
}

void ServerConnection::start()
{
    newParser();
    read();
}

void ServerConnection::refuse()
{
    phase_ = Phase::Finishing;
    keepAlive_ = false;
    send(responseHead(status::unavailable, {}, { .keepAlive = false, .contentLength = 0 }));
}

void ServerConnection::close()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    phase_ = Phase::Closed;
    ErrorCode ignored;
    socket_.close(ignored);
    releaseHeld();
    if (counted_) {
        counted_ = false;
        --shared_->counters.running;
        ++shared_->counters.cut;
    }
    if (const auto exchange = exchange_.lock()) {
        exchange->connectionGone(shared_->loop);
    }
    exchange_.reset();
    shared_->onGone(*this);
}

void ServerConnection::sweep(Time now)
{
    if (isHeadLate(now)) {
        ++shared_->counters.headsLate;
        rejectWith(status::requestTimeout);
        return;
    }
    if (now - lastProgress_ < allowedIdle()) {
        return;
    }
    if (phase_ == Phase::Reading && !(shared_->draining && isBetweenRequests())) {
        ++shared_->counters.idleClosed;
    }
    close();
}

Duration ServerConnection::allowedIdle() const noexcept
{
    switch (phase_) {
    case Phase::Responding:
        // A handler may take as long as it likes; only a caller that has stopped reading is given up.
        return sending_.empty() ? Duration::max() : shared_->options.idleTime();
    case Phase::Lingering:
        return lingerTime;
    case Phase::Reading:
        return shared_->draining && isBetweenRequests() ? drainQuiet : shared_->options.idleTime();
    case Phase::Finishing:
    case Phase::Closed:
        break;
    }
    return shared_->options.idleTime();
}

bool ServerConnection::isBetweenRequests() const noexcept
{
    ErrorCode error;
    return phase_ == Phase::Reading && input_.size() == 0 && !parser_->got_some() && socket_.available(error) == 0;
}

bool ServerConnection::isOpen() const noexcept
{
    return phase_ == Phase::Responding;
}

bool ServerConnection::mayKeepAlive() const noexcept
{
    // A pipelined request has been read from the socket, so its caller could not tell that it was not processed.
    return !shared_->draining || input_.size() > 0;
}

std::size_t ServerConnection::pendingBytes() const noexcept
{
    return pending_.size() + pendingLast_.size() + sending_.size() + sendingLast_.size();
}

std::size_t ServerConnection::maxPendingBytes() const noexcept
{
    return shared_->options.maxPendingBytes();
}

void ServerConnection::newParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(shared_->options.maxHeaderBytes()));
    parser_->body_limit(shared_->options.maxBodyBytes());
    bodyReservation_ = MemoryReservation(shared_->options.memoryBudget());
    headBytes_ = headLines_ = 0;
    continueSent_ = false;
}

void ServerConnection::read()
{
    if (reading_ || peerClosed_ || phase_ == Phase::Closed
        || (phase_ != Phase::Reading && input_.size() >= maxReadAhead)) {
        return;
    }
    reading_ = true;
    socket_.async_read_some(input_.prepare(phase_ == Phase::Lingering ? lingerReadBytes : readBytes),
                            [self = shared_from_this()](const ErrorCode &error, std::size_t size) {
                                self->reading_ = false;
                                self->readDone(error, size);
                            });
}

void ServerConnection::readDone(const ErrorCode &error, std::size_t size)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    if (error) {
        // A response that is complete still goes to a caller that has only closed its own side. Asio reports the end of
        // a connection once: another read would wait for ever.
        peerClosed_ = true;
        if (phase_ != Phase::Finishing) {
            close();
        }
        return;
    }
    input_.commit(size);
    if (phase_ == Phase::Lingering) {
        // A caller that still sends a refused request reads the answer later; a reset would take it away.
        input_.consume(input_.size());
        lastProgress_ = std::min(shared_->loop.clock().now(), lingerEnd_);
    } else {
        lastProgress_ = shared_->loop.clock().now();
        noteProgress(size);
        parse();
        const bool fits = reserveHeld();
        if (!fits && phase_ == Phase::Reading) {
            refuseRequest();
        }
    }
    read();
}

void ServerConnection::parse()
{
    while (phase_ == Phase::Reading && input_.size() > 0) {
        if (!parser_->got_some()) {
            requestStarted_ = lastFairProgress_ = shared_->loop.clock().now();
        }
        ErrorCode error;
        const bool isHead = !parser_->is_header_done();
        const auto *bytes = static_cast<const char *>(input_.data().data());
        const std::size_t taken = parser_->put(input_.data(), error);
        if (isHead) {
            countHead({ bytes, taken });
        }
        input_.consume(taken);
        const bool stuck = !error && taken == 0 && !parser_->is_done();
        if (stuck || (error && error != http::error::need_more)) {
            rejectMalformed(error);
            return;
        }
        if (parser_->is_header_done() && !hasPlainFraming(parser_->get())) {
            rejectMalformed(http::error::bad_transfer_encoding);
            return;
        }
        if (parser_->is_header_done() && !reserveRequest()) {
            refuseRequest();
            return;
        }
        sendContinueIfAsked();
        if (parser_->is_done()) {
            dispatch();
            return;
        }
        if (error == http::error::need_more) {
            if (input_.size() > shared_->options.maxHeaderBytes()) {
                // The parser bounds heads and bodies, but neither a chunk's size line nor a trailer.
                rejectMalformed(http::error::header_limit);
            }
            return;
        }
    }
}

void ServerConnection::sendContinueIfAsked()
{
    if (continueSent_ || !parser_->is_header_done() || parser_->is_done()) {
        return;
    }
    if (boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
        continueSent_ = true;
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void ServerConnection::dispatch()
{
    phase_ = Phase::Responding;
    counted_ = true;
    ++shared_->counters.requests;
    ++shared_->counters.running;
    auto message = parser_->release();
    const bool headOnly = message.method() == http::verb::head;
    auto exchange =
        std::make_shared<ResponseWriter::Exchange>(weak_from_this(), headOnly, message.version(), message.keep_alive());
    exchange_ = exchange;
    ResponseWriter writer(std::move(exchange));
    try {
        HttpRequest request = toRequest(message, remoteAddress_, requestStarted_);
        request.body = Body(std::move(message.body()), std::move(bodyReservation_));
        shared_->handler(std::move(request), writer);
    } catch (const std::exception &) {
        writer.respond(status::internalError, {}, {});
    }
}

void ServerConnection::rejectMalformed(const ErrorCode &error)
{
    if (error == http::error::header_limit) {
        ++shared_->counters.tooLarge;
        rejectWith(status::headerTooLarge);
    } else if (error == http::error::body_limit) {
        ++shared_->counters.tooLarge;
        rejectWith(status::payloadTooLarge);
    } else {
        ++shared_->counters.malformed;
        rejectWith(status::badRequest);
    }
}

/** Counts bytes of a head, which may be followed by part of the body. */
void ServerConnection::countHead(std::string_view bytes)
{
    headBytes_ = std::min(headBytes_ + bytes.size(), shared_->options.maxHeaderBytes());
    if (parser_->is_header_done()) {
        const auto &fields = parser_->get();
        headLines_ = std::size_t(std::distance(fields.begin(), fields.end()));
    } else {
        headLines_ += std::size_t(std::count(bytes.begin(), bytes.end(), '\n'));
    }
}

/**
 * Takes memory for the request at hand: for its body, all of it at once if its length is known, for its head and for
 * the smallest answer.
 */
bool ServerConnection::reserveRequest()
{
    const auto &body = parser_->get().body();
    const auto length = parser_->content_length();
    const std::size_t held = body.empty() ? 0 : body.capacity();
    const std::size_t wanted = length ? std::size_t(*length) : held;
    if (!bodyReservation_.tryGrowTo(wanted)) {
        shared_->onMemoryShort(wanted, this);
        if (!bodyReservation_.tryGrowTo(wanted)) {
            return false;
        }
    }
    return !parser_->is_done() || reserveHeld();
}

/** Adjusts the memory taken to what the connection holds besides bodies. @return false if there is too little */
bool ServerConnection::reserveHeld()
{
    const auto &budget = shared_->options.memoryBudget();
    if (!budget || phase_ == Phase::Lingering || phase_ == Phase::Closed) {
        return true;
    }
    const bool isComplete = phase_ == Phase::Responding || (parser_ && parser_->is_done());
    const std::size_t answer = isComplete ? std::max(memory::answerReserve, pending_.size() + sending_.size())
                                          : pending_.size() + sending_.size();
    const std::size_t held = input_.capacity() + memory::headMemory(headBytes_, headLines_) + answer;
    if (held <= heldBytes_) {
        budget->release(heldBytes_ - held);
        heldBytes_ = held;
        return true;
    }
    // Each part is small, though their sum may not be.
    if (!budget->tryGrow(0, held - heldBytes_)) {
        shared_->onMemoryShort(held - heldBytes_, this);
        if (!budget->tryGrow(0, held - heldBytes_)) {
            return false;
        }
    }
    heldBytes_ = held;
    return true;
}

void ServerConnection::releaseHeld()
{
    if (const auto &budget = shared_->options.memoryBudget()) {
        budget->release(std::exchange(heldBytes_, 0));
    }
}

bool ServerConnection::reservePending(std::size_t bytes)
{
    const auto &budget = shared_->options.memoryBudget();
    const std::size_t pending = pending_.size() + sending_.size();
    if (!budget || pending + bytes <= memory::answerReserve) {
        return true; // taken when the request was handed on
    }
    if (!budget->tryGrow(0, bytes)) {
        shared_->onMemoryShort(bytes, this);
        if (!budget->tryGrow(0, bytes)) {
            return false;
        }
    }
    heldBytes_ += bytes;
    return true;
}

memory::Connection ServerConnection::holding() const noexcept
{
    const bool isSending = phase_ == Phase::Finishing || phase_ == Phase::Lingering || !sending_.empty();
    const auto activity = isSending      ? memory::Activity::SendingAnswer
        : phase_ == Phase::Responding    ? memory::Activity::Running
        : parser_ && parser_->got_some() ? memory::Activity::ReadingRequest
        : input_.size() > 0              ? memory::Activity::ReadingRequest
                                         : memory::Activity::Idle;
    const std::size_t body = parser_ && parser_->is_header_done() ? parser_->get().body().capacity() : 0;
    return { activity, lastFairProgress_, heldBytes_ + body + pendingLast_.size() + sendingLast_.size() };
}

void ServerConnection::giveUp()
{
    if (phase_ == Phase::Reading && parser_->is_header_done()) {
        refuseRequest();
    } else {
        close();
    }
}

/** Notes that the caller has sent or read bytes; only a fair number of them shows that it goes on. */
void ServerConnection::noteProgress(std::size_t bytes)
{
    bytesSinceFair_ += bytes;
    if (bytesSinceFair_ >= fairBytes) {
        bytesSinceFair_ = 0;
        lastFairProgress_ = lastProgress_;
    }
}

bool ServerConnection::isHeadLate(Time now) const noexcept
{
    ErrorCode error;
    return phase_ == Phase::Reading && parser_->got_some() && !parser_->is_header_done()
        && now - requestStarted_ >= shared_->options.headTime()
        && socket_.available(error) == 0; // else the VM is late, not the caller
}

void ServerConnection::refuseRequest()
{
    ++shared_->counters.memoryRefused;
    const Headers headers = shared_->options.refuse(toRequest(parser_->get(), remoteAddress_, requestStarted_));
    rejectWith(status::unavailable, headers);
}

void ServerConnection::rejectWith(int status, const Headers &headers)
{
    phase_ = Phase::Finishing;
    keepAlive_ = false;
    dropInput();
    parser_.reset();
    bodyReservation_.release();
    headBytes_ = headLines_ = 0;
    send(responseHead(status, headers, { .keepAlive = false, .contentLength = 0 }));
    static_cast<void>(reserveHeld()); // holds less than before
}

void ServerConnection::send(std::string_view bytes)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    pending_ += bytes;
    if (sending_.empty()) {
        flush();
    }
}

void ServerConnection::sendLast(Body body)
{
    pendingLast_ = std::move(body);
}

void ServerConnection::resetUnlessComplete()
{
    ErrorCode ignored; // the socket is gone, and with it the caller
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
}

void ServerConnection::responseComplete(bool keepAlive)
{
    if (phase_ != Phase::Responding) {
        return;
    }
    phase_ = Phase::Finishing;
    keepAlive_ = keepAlive;
    if (pendingBytes() == 0) {
        // No write is in flight whose end would complete the response.
        shared_->loop.post([self = shared_from_this()] { self->flushDone({}); });
    }
}

void ServerConnection::flush()
{
    lastProgress_ = lastFairProgress_ = shared_->loop.clock().now();
    sending_.swap(pending_);
    sendingLast_ = std::exchange(pendingLast_, {});
    auto whenDone = [self = shared_from_this()](const ErrorCode &error, std::size_t) { self->flushDone(error); };
    if (sendingLast_.empty() && sending_.size() <= maxWriteBytes) {
        asio::async_write(socket_, asio::buffer(sending_), std::move(whenDone));
        return;
    }
    // A large answer takes several writes, each of which shows that the caller reads.
    const auto noteWritten = [this](const ErrorCode &error, std::size_t written) { // whenDone keeps the connection
        if (written > 0) {
            lastProgress_ = lastFairProgress_ = shared_->loop.clock().now();
        }
        return error ? 0 : maxWriteBytes;
    };
    asio::async_write(socket_,
                      std::array<asio::const_buffer, 2> { asio::buffer(sending_), asio::buffer(sendingLast_.text()) },
                      noteWritten,
                      std::move(whenDone));
}

void ServerConnection::flushDone(const ErrorCode &error)
{
    if (sending_.capacity() > readBytes) {
        sending_ = {};
    }
    sending_.clear();
    sendingLast_ = {};
    if (phase_ == Phase::Closed) {
        return;
    }
    static_cast<void>(reserveHeld()); // holds less than before
    if (error) {
        close();
        return;
    }
    const auto exchange = exchange_.lock();
    if (exchange && pendingBytes() < maxPendingBytes() / 2) {
        exchange->drained(shared_->loop);
    }
    if (!pending_.empty()) {
        flush();
    } else if (phase_ == Phase::Finishing) {
        if (exchange) {
            exchange->finished();
        }
        nextRequest();
    }
}

void ServerConnection::nextRequest()
{
    lastProgress_ = shared_->loop.clock().now();
    exchange_.reset();
    if (counted_) {
        counted_ = false;
        --shared_->counters.running;
    }
    if (!keepAlive_) {
        linger();
        return;
    }
    phase_ = Phase::Reading;
    newParser();
    if (!reserveHeld()) {
        close();
        return;
    }
    parse();
    if (peerClosed_ && phase_ == Phase::Reading) {
        close();
        return;
    }
    read();
}

void ServerConnection::linger()
{
    phase_ = Phase::Lingering;
    lingerEnd_ = shared_->loop.clock().now() + maxLingerTime - lingerTime;
    ErrorCode error;
    socket_.set_option(asio::socket_base::linger(false, 0), error); // undoes resetUnlessComplete()
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error || peerClosed_) {
        close();
        return;
    }
    dropInput();
    parser_.reset();
    releaseHeld();
    read();
}

/** Throws away what has been read, and gives its memory back unless a read is under way. */
void ServerConnection::dropInput()
{
    input_.consume(input_.size());
    if (!reading_) {
        input_.shrink_to_fit();
    }
}

} // namespace lacewing::net
