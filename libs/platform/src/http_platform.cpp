#include "protocol.h"

#include <platform/platform.h>

namespace lacewing::platform
{
namespace
{

/** Carries out platform calls over HTTP. */
class HttpPlatformClient final : public PlatformClient
{
public:
    HttpPlatformClient(net::EventLoop &loop, HttpPlatformSettings settings)
        : settings_(std::move(settings))
        , client_(loop, net::HttpClientOptions().defaultHeaders({ { "X-Zone", settings_.zone.text() } }))
    {
    }

    void submit(log::Request request, std::function<void(log::Answer)> callback) override
    {
        std::visit(Overloaded {
                       [&](const log::Append &append) { this->append(append, std::move(callback)); },
                       [&](const log::Read &read) { this->read(read, std::move(callback)); },
                   },
                   request);
    }

    void readVms(std::function<void(Result<VmList>)> callback) override
    {
        ++counters_.lists;
        net::fetch(client_,
                   get("/vms"),
                   limits(Duration::zero()),
                   [this, callback = std::move(callback)](const net::HttpEnd &end, const net::HttpResponse &response) {
                       auto list = vmsFrom(end, response);
                       counters_.listsFailed += list ? 0 : 1;
                       callback(std::move(list));
                   });
    }

    void registerVm(const PlatformVm &vm, std::function<void(Result<void>)> callback) override
    {
        net::HttpCall call = post("/vms", vmBody(vm));
        call.repeatable = true;
        net::fetch(client_,
                   std::move(call),
                   limits(Duration::zero()),
                   [callback = std::move(callback)](const net::HttpEnd &end, const net::HttpResponse &response) {
                       callback(checkOk(end, response));
                   });
    }

    const PlatformCounters &counters() const noexcept override
    {
        return counters_;
    }

private:
    void append(const log::Append &request, std::function<void(log::Answer)> callback)
    {
        ++counters_.appends;
        net::fetch(client_,
                   post(streamPath(request.stream), appendBody(request)),
                   limits(Duration::zero()),
                   [this,
                    tag = request.tag,
                    stream = request.stream,
                    records = request.records.size(),
                    callback = std::move(callback)](const net::HttpEnd &end, const net::HttpResponse &response) {
                       auto answer = appendAnswerFrom(end, response, records);
                       answer.tag = tag;
                       answer.stream = stream;
                       count(answer.outcome);
                       callback(std::move(answer));
                   });
    }

    void read(const log::Read &request, std::function<void(log::Answer)> callback)
    {
        ++counters_.reads;
        net::fetch(client_,
                   get(readTarget(request, settings_.maxRecordsPerRead)),
                   limits(request.wait),
                   [this, tag = request.tag, stream = request.stream, callback = std::move(callback)](
                       const net::HttpEnd &end, const net::HttpResponse &response) {
                       auto answer = readAnswerFrom(end, response);
                       answer.tag = tag;
                       answer.stream = stream;
                       counters_.readsFailed += answer.ok ? 0 : 1;
                       callback(std::move(answer));
                   });
    }

    void count(log::AppendOutcome outcome) noexcept
    {
        switch (outcome) {
        case log::AppendOutcome::Done:
            ++counters_.appendsDone;
            break;
        case log::AppendOutcome::NotDone:
            ++counters_.appendsNotDone;
            break;
        case log::AppendOutcome::Unknown:
            ++counters_.appendsUnknown;
            break;
        }
    }

    net::HttpCall get(std::string target) const
    {
        net::HttpCall call;
        call.address = settings_.address;
        call.target = std::move(target);
        call.repeatable = true;
        return call;
    }

    net::HttpCall post(std::string target, std::string body) const
    {
        net::HttpCall call;
        call.address = settings_.address;
        call.method = "POST";
        call.target = std::move(target);
        call.headers = { { "Content-Type", "application/json" } };
        call.body = std::move(body);
        return call;
    }

    /** @param wait how long the platform may hold the answer */
    net::HttpLimits limits(Duration wait) const
    {
        net::HttpLimits limits;
        limits.connect = settings_.connect;
        limits.firstByte = settings_.answer + wait;
        limits.nextByte = settings_.answer;
        // Room for one silent pooled connection and a fresh one.
        limits.total = 2 * (settings_.connect + settings_.answer + wait);
        return limits;
    }

    HttpPlatformSettings settings_;
    net::HttpClient client_;
    PlatformCounters counters_;
};

} // namespace

std::unique_ptr<PlatformClient> makeHttpPlatformClient(net::EventLoop &loop, HttpPlatformSettings settings)
{
    return std::make_unique<HttpPlatformClient>(loop, std::move(settings));
}

} // namespace lacewing::platform
