#include "http_text.h"
#include "server_connection.h"

namespace lacewing::net
{
namespace
{

constexpr int noContentStatus = 204;
constexpr int notModifiedStatus = 304;
constexpr unsigned firstVersionWithChunks = 11;
/** Body up to which a copy costs less than a buffer of its own. */
constexpr std::size_t maxCopiedBytes = std::size_t(16) << 10U;

bool hasNoBody(int status) noexcept
{
    return status == noContentStatus || status == notModifiedStatus;
}

} // namespace

ResponseWriter::Exchange::Exchange(std::weak_ptr<ServerConnection> connection,
                                   bool headOnly,
                                   unsigned version,
                                   bool keepAlive)
    : connection_(std::move(connection))
    , headOnly_(headOnly)
    , keepAlive_(keepAlive)
    , version_(version)
{
}

ResponseWriter::Exchange::~Exchange()
{
    if (phase_ == Phase::Waiting) {
        respond(status::internalError, {}, {}, BodyFraming::Length);
    } else if (phase_ == Phase::Streaming) {
        abort();
    }
}

void ResponseWriter::Exchange::respond(int status, const Headers &headers, Body body, BodyFraming framing)
{
    const auto connection = connection_.lock();
    if (!connection || phase_ != Phase::Waiting) {
        return;
    }
    phase_ = Phase::Complete;
    const bool isUntilClose = framing == BodyFraming::UntilClose;
    const bool keepAlive = keepAlive_ && !isUntilClose && connection->mayKeepAlive();
    ResponseFraming headFraming { version_, keepAlive, false, body.size() };
    if (hasNoBody(status) || isUntilClose) {
        headFraming.contentLength.reset();
    }
    if (isUntilClose) {
        connection->resetUnlessComplete();
    }
    std::string head = responseHead(status, headers, headFraming);
    if (!headOnly_ && !hasNoBody(status)) {
        if (body.size() <= maxCopiedBytes) {
            head += body.text();
        } else {
            connection->sendLast(std::move(body)); // first, so that it is written along with the head
        }
    }
    connection->send(head);
    connection->responseComplete(keepAlive);
}

void ResponseWriter::Exchange::begin(int status, const Headers &headers, BodyFraming framing)
{
    const auto connection = connection_.lock();
    if (!connection || phase_ != Phase::Waiting) {
        return;
    }
    phase_ = Phase::Streaming;
    chunked_ = framing != BodyFraming::UntilClose && version_ >= firstVersionWithChunks;
    keepAlive_ = keepAlive_ && chunked_ && connection->mayKeepAlive();
    if (!chunked_) {
        connection->resetUnlessComplete();
    }
    connection->send(responseHead(status, headers, { version_, keepAlive_, chunked_, std::nullopt }));
}

WriteOutcome ResponseWriter::Exchange::write(std::string_view bytes)
{
    const auto connection = connection_.lock();
    if (!connection || !connection->isOpen() || phase_ != Phase::Streaming) {
        return WriteOutcome::Closed;
    }
    if (connection->pendingBytes() >= connection->maxPendingBytes() || !connection->reservePending(bytes.size())) {
        writerWaits_ = true;
        return WriteOutcome::Full;
    }
    if (!bytes.empty() && !headOnly_) {
        connection->send(chunked_ ? chunk(bytes) : std::string(bytes));
    }
    return WriteOutcome::Accepted;
}

void ResponseWriter::Exchange::end()
{
    const auto connection = connection_.lock();
    if (!connection || phase_ != Phase::Streaming) {
        return;
    }
    phase_ = Phase::Complete;
    if (chunked_ && !headOnly_) {
        connection->send(lastChunk());
    }
    connection->responseComplete(keepAlive_);
}

void ResponseWriter::Exchange::abort()
{
    const auto connection = connection_.lock();
    if (!connection || phase_ == Phase::Complete) {
        return;
    }
    phase_ = Phase::Complete;
    onClosed = nullptr;
    connection->close();
}

bool ResponseWriter::Exchange::isOpen() const noexcept
{
    const auto connection = connection_.lock();
    return connection && connection->isOpen() && phase_ != Phase::Complete;
}

std::size_t ResponseWriter::Exchange::pendingBytes() const noexcept
{
    const auto connection = connection_.lock();
    return connection ? connection->pendingBytes() : 0;
}

void ResponseWriter::Exchange::connectionGone(EventLoop &loop)
{
    connection_.reset();
    phase_ = Phase::Complete;
    onDrained = nullptr;
    if (onClosed) {
        loop.post(std::move(onClosed));
        onClosed = nullptr;
    }
}

void ResponseWriter::Exchange::finished() noexcept
{
    onClosed = nullptr;
    onDrained = nullptr;
}

void ResponseWriter::Exchange::drained(EventLoop &loop)
{
    if (writerWaits_ && onDrained) {
        writerWaits_ = false;
        loop.post(onDrained);
    }
}

ResponseWriter::ResponseWriter(std::shared_ptr<Exchange> exchange)
    : exchange_(std::move(exchange))
{
}

void ResponseWriter::respond(int status, const Headers &headers, Body body, BodyFraming framing)
{
    if (exchange_) {
        exchange_->respond(status, headers, std::move(body), framing);
    }
}

void ResponseWriter::begin(int status, const Headers &headers, BodyFraming framing)
{
    if (exchange_) {
        exchange_->begin(status, headers, framing);
    }
}

WriteOutcome ResponseWriter::write(std::string_view bytes)
{
    return exchange_ ? exchange_->write(bytes) : WriteOutcome::Closed;
}

void ResponseWriter::end()
{
    if (exchange_) {
        exchange_->end();
    }
}

void ResponseWriter::abort()
{
    if (exchange_) {
        exchange_->abort();
    }
}

void ResponseWriter::onClosed(std::function<void()> callback)
{
    if (exchange_) {
        exchange_->onClosed = std::move(callback);
    }
}

void ResponseWriter::onDrained(std::function<void()> callback)
{
    if (exchange_) {
        exchange_->onDrained = std::move(callback);
    }
}

bool ResponseWriter::isOpen() const noexcept
{
    return exchange_ && exchange_->isOpen();
}

std::size_t ResponseWriter::pendingBytes() const noexcept
{
    return exchange_ ? exchange_->pendingBytes() : 0;
}

} // namespace lacewing::net
