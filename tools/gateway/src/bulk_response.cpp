#include "bulk_response.h"

#include <algorithm>

namespace lacewing::gateway
{
namespace
{

constexpr std::size_t pieceBytes = std::size_t(32) << 10U;

} // namespace

class BulkResponses::Transfer : public std::enable_shared_from_this<BulkResponses::Transfer>
{
public:
    Transfer(std::shared_ptr<const std::string> bytes, peer::PeerCallWriter writer)
        : bytes_(std::move(bytes))
        , writer_(std::move(writer))
    {
    }

    /** @param onDone called once, when all is handed to the link or the other VM is gone */
    void start(std::function<void()> onDone)
    {
        onDone_ = std::move(onDone);
        const auto resume = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->send();
            }
        };
        writer_.onDrained(resume);
        writer_.onClosed(resume);
        send();
    }

    std::size_t size() const noexcept
    {
        return bytes_->size();
    }

private:
    void send()
    {
        while (sent_ < bytes_->size()) {
            const auto piece = std::string_view(*bytes_).substr(sent_, pieceBytes);
            const auto outcome = writer_.write(piece);
            if (outcome == net::WriteOutcome::Full) {
                return;
            }
            if (outcome == net::WriteOutcome::Closed) {
                finish();
                return;
            }
            sent_ += piece.size();
        }
        writer_.end();
        finish();
    }

    void finish()
    {
        if (const auto onDone = std::exchange(onDone_, {})) {
            onDone();
        }
    }

    std::shared_ptr<const std::string> bytes_;
    peer::PeerCallWriter writer_;
    std::size_t sent_ = 0;
    std::function<void()> onDone_;
};

void BulkResponses::send(std::shared_ptr<const std::string> bytes, peer::PeerCallWriter writer)
{
    const auto transfer = std::make_shared<Transfer>(std::move(bytes), std::move(writer));
    transfers_.insert(transfer);
    transfer->start([this, weak = std::weak_ptr(transfer)] { transfers_.erase(weak.lock()); });
}

std::size_t BulkResponses::countLarger(std::size_t minBytes) const
{
    return static_cast<std::size_t>(std::count_if(
        transfers_.begin(), transfers_.end(), [&](const auto &transfer) { return transfer->size() > minBytes; }));
}

void requestBulk(FleetLinks &links,
                 const VmId &vm,
                 std::string request,
                 std::size_t maxBytes,
                 const peer::CallLimits &limits,
                 BulkHandlers handlers)
{
    struct Download {
        BulkHandlers handlers;
        std::string bytes;
        peer::PeerCallHandle call;
    };
    const auto download = std::make_shared<Download>(Download { std::move(handlers), {}, {} });
    peer::CallHandlers callHandlers;
    callHandlers.onData = [&links, download, maxBytes](const std::string &piece) {
        download->bytes += piece;
        if (download->bytes.size() > maxBytes) {
            links.cancel(download->call);
            download->handlers.onFailed({ ErrorKind::TooLarge, "response over the bound" }, download->bytes.size());
        }
    };
    callHandlers.onEnd = [download] { download->handlers.onReceived(std::move(download->bytes)); };
    callHandlers.onFailed = [download](const Error &error, bool) {
        download->handlers.onFailed(error, download->bytes.size());
    };
    download->call = links.call(vm, std::move(request), limits, std::move(callHandlers));
}

} // namespace lacewing::gateway
