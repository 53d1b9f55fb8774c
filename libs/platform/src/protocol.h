#pragma once

#include <platform/platform.h>

/** The bodies and targets of the platform's HTTP interface. */
namespace lacewing::platform
{

std::string streamPath(const log::StreamId &stream);
std::string readTarget(const log::Read &request, std::size_t maxRecords);
std::string appendBody(const log::Append &request);
std::string vmBody(const PlatformVm &vm);

/** Judges an append of a number of records by its response; tag and stream are left empty. */
log::AppendAnswer appendAnswerFrom(const net::HttpEnd &end, const net::HttpResponse &response, std::size_t records);
/** Decodes a read's response; tag and stream are left empty. */
log::ReadAnswer readAnswerFrom(const net::HttpEnd &end, const net::HttpResponse &response);
/** Decodes the list of VMs. Fails as the call did, with Unavailable or Refused by status, or with Malformed. */
Result<VmList> vmsFrom(const net::HttpEnd &end, const net::HttpResponse &response);
/** Success for a complete response with a status of 2xx. */
Result<void> checkOk(const net::HttpEnd &end, const net::HttpResponse &response);

} // namespace lacewing::platform
