#pragma once

#include "stage_stream.h"

#include <unordered_map>

namespace lacewing::endpoint
{

/** Calls endpoints over HTTP/1.1. */
class HttpEndpointClient final : public EndpointClient
{
public:
    HttpEndpointClient(net::EventLoop &loop, HttpEndpointSettings settings);

    void call(StageCall call, StageCallback callback) override;
    void cancel(const CallId &call) override;
    void readLoad(const std::string &address, std::function<void(Result<EndpointLoad>)> callback) override;
    void readCacheEvents(const std::string &address,
                         std::uint64_t from,
                         std::function<void(Result<CacheEvents>)> callback) override;
    void order(const std::string &address, const Order &order, std::function<void(Result<void>)> callback) override;
    void exportKv(const std::string &address,
                  const CallId &call,
                  std::function<void(Result<std::string>)> callback) override;
    void importKv(const std::string &address,
                  const CallId &call,
                  std::string bytes,
                  std::function<void(Result<void>)> callback) override;
    const EndpointCounters &counters() const noexcept override
    {
        return counters_;
    }

private:
    /** A call in progress. */
    struct Running {
        StageCall call;
        StageCallback callback;
        net::HttpCallHandle http;
        std::optional<StageStream> stream; ///< for stages that stream
        net::HttpHead head;
        std::string body; ///< of an answer that isn't a stream
        std::optional<Incarnation> incarnation; ///< of the endpoint's process that got the call, when known
        bool ours = false; ///< the answer names this call
    };

    void sendCall(Running &running, std::string body);
    net::HttpLimits limitsOf(const StageCall &call) const;
    void headCame(const CallId &id, const net::HttpHead &head);
    void bodyCame(const CallId &id, std::string_view bytes);
    void callDone(const CallId &id, const net::HttpEnd &end);
    void plainDone(const CallId &id);
    void statusDone(const CallId &id);
    void connectionFailed(const CallId &id, const net::HttpEnd &end);

    /** Ends a call with its last event. */
    void finish(const CallId &id, StageEvent event);
    void fail(const CallId &id, Error error, Ran ran, bool crashed = false);
    /** Fails a call on a usable connection; closes it and tells the endpoint. */
    void abandon(const CallId &id, Error error);
    void sendCancel(const StageCall &call);

    /** Finds out whether a lost connection means that the endpoint's process ended. */
    void probeAfterLoss(const CallId &id, const Error &error, Ran ran);
    void probeDone(const std::string &address, const Result<EndpointLoad> &load);

    net::HttpCall controlCall(const std::string &address, std::string method, std::string target) const;
    net::HttpLimits controlLimits() const;

    /** A call that waits for the outcome of a probe. */
    struct Suspect {
        CallId call;
        Error error;
        Ran ran = Ran::Unknown;
    };

    net::EventLoop &loop_;
    HttpEndpointSettings settings_;
    net::HttpClient client_;
    std::unordered_map<CallId, Running> calls_;
    std::unordered_map<std::string, Incarnation> incarnations_; ///< last known, by address
    std::unordered_map<std::string, std::vector<Suspect>> probes_; ///< by address
    EndpointCounters counters_;
};

} // namespace lacewing::endpoint
