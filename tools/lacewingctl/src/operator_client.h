#pragma once

#include <base/base.h>

#include <nlohmann/json.hpp>

#include <string>

namespace lacewing::ctl
{

using Json = nlohmann::ordered_json;

/** An answer of a VM's operators' interface. */
struct OperatorAnswer {
    int status = 0;
    Json body;
};

/** Speaks to the operators' interface of one VM; each call waits for its answer. */
class OperatorClient
{
public:
    /** @param address ip:port @param token operators' bearer token */
    OperatorClient(std::string address, std::string token);

    /** Fails with Unreachable (nothing was sent), or with ConnectionLost, Silent or Timeout (it may have been done). */
    Result<OperatorAnswer> get(const std::string &target) const;
    Result<OperatorAnswer> post(const std::string &target, const Json &body) const;

private:
    Result<OperatorAnswer> send(const std::string &method, const std::string &target, std::string body) const;

    std::string address_;
    std::string token_;
};

} // namespace lacewing::ctl
