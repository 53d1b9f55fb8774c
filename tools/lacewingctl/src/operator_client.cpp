#include "operator_client.h"

#include <net/net.h>

namespace lacewing::ctl
{
namespace
{

constexpr Duration answerLimit = 20s;

} // namespace

OperatorClient::OperatorClient(std::string address, std::string token)
    : address_(std::move(address))
    , token_(std::move(token))
{
}

Result<OperatorAnswer> OperatorClient::get(const std::string &target) const
{
    return send("GET", target, std::string());
}

Result<OperatorAnswer> OperatorClient::post(const std::string &target, const Json &body) const
{
    return send("POST", target, body.dump());
}

Result<OperatorAnswer> OperatorClient::send(const std::string &method,
                                            const std::string &target,
                                            std::string body) const
{
    net::EventLoop loop;
    net::HttpClient client(loop, net::HttpClientOptions());
    net::HttpCall call;
    call.address = address_;
    call.method = method;
    call.target = target;
    call.headers = { { "Authorization", "Bearer " + token_ }, { "Content-Type", "application/json" } };
    call.body = std::move(body);
    call.repeatable = method == "GET";
    net::HttpLimits limits;
    limits.firstByte = answerLimit;
    limits.total = answerLimit;

    net::HttpEnd end;
    net::HttpResponse response;
    net::fetch(client, std::move(call), limits, [&](const net::HttpEnd &ended, net::HttpResponse answer) {
        end = ended;
        response = std::move(answer);
        loop.stop();
    });
    loop.run();
    if (end.error) {
        return boost::outcome_v2::failure(*end.error);
    }
    OperatorAnswer answer;
    answer.status = response.head.status;
    answer.body = Json::parse(response.body, nullptr, false);
    if (answer.body.is_discarded()) {
        return failure(ErrorKind::Malformed, "the answer is not JSON");
    }
    return answer;
}

} // namespace lacewing::ctl
