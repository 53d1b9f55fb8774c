#include "client_call.h"
#include "client_pool.h"
#include "http_text.h"

#include <set>

namespace lacewing::net
{

/** Calls in progress over one pool. */
class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl>
{
public:
    Impl(EventLoop &loop, HttpClientOptions options)
        : loop_(loop)
        , pool_(loop, std::move(options))
    {
    }

    HttpCallHandle start(HttpCall call, HttpLimits limits, HttpHandlers handlers)
    {
        const HttpCallHandle handle(++lastHandle_);
        ++pool_.counters().calls;
        const auto onEnd = [this](HttpCallHandle ended) {
            auto call = calls_.extract(ended).mapped();
            lingering_.insert(call);
            return call;
        };
        const auto onClosed = [this](const std::shared_ptr<ClientCall> &closed) { lingering_.erase(closed); };
        auto clientCall = std::make_shared<ClientCall>(
            loop_, pool_, handle, std::move(call), limits, std::move(handlers), onEnd, onClosed);
        calls_.emplace(handle, clientCall);
        clientCall->start();
        return handle;
    }

    void cancel(HttpCallHandle handle)
    {
        const auto found = calls_.find(handle);
        if (found != calls_.end()) {
            const auto call = found->second;
            calls_.erase(found);
            lingering_.insert(call);
            ++pool_.counters().cancelled;
            call->cancel();
        }
    }

    void shutDown()
    {
        for (const auto &[handle, call] : std::exchange(calls_, {})) {
            call->giveUp();
        }
        for (const auto &call : std::exchange(lingering_, {})) {
            call->giveUp();
        }
        pool_.closeIdle();
    }

    const HttpClientCounters &counters() const noexcept
    {
        return pool_.counters();
    }

private:
    EventLoop &loop_;
    ClientPool pool_;
    std::unordered_map<HttpCallHandle, std::shared_ptr<ClientCall>> calls_;
    std::set<std::shared_ptr<ClientCall>> lingering_; ///< ended; some still wait for a late head
    std::uint64_t lastHandle_ = 0;
};

HttpClient::HttpClient(EventLoop &loop, HttpClientOptions options)
    : impl_(std::make_shared<Impl>(loop, std::move(options)))
{
}

HttpClient::~HttpClient()
{
    impl_->shutDown();
}

HttpCallHandle HttpClient::start(HttpCall call, HttpLimits limits, HttpHandlers handlers)
{
    return impl_->start(std::move(call), limits, std::move(handlers));
}

void HttpClient::cancel(HttpCallHandle handle)
{
    impl_->cancel(handle);
}

const HttpClientCounters &HttpClient::counters() const noexcept
{
    return impl_->counters();
}

HttpCallHandle fetch(HttpClient &client,
                     HttpCall call,
                     HttpLimits limits,
                     std::function<void(const HttpEnd &, HttpResponse)> callback,
                     std::function<void(const HttpHead &)> onLateHead,
                     std::function<bool(const HttpResponse &, ConnectionNumber)> isIdentified)
{
    auto response = std::make_shared<HttpResponse>();
    HttpHandlers handlers;
    handlers.onHead = [response](const HttpHead &head) { response->head = head; };
    handlers.onBody = [response](std::string_view bytes) { response->body += bytes; };
    handlers.onDone = [response, callback = std::move(callback)](const HttpEnd &end) {
        callback(end, std::move(*response));
    };
    handlers.onLateHead = std::move(onLateHead);
    if (isIdentified) {
        handlers.isIdentified = [response, isIdentified = std::move(isIdentified)](ConnectionNumber connection) {
            return isIdentified(*response, connection);
        };
    }
    return client.start(std::move(call), limits, std::move(handlers));
}

} // namespace lacewing::net
