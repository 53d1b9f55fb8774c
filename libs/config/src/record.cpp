#include <config/config.h>
#include <wire/wire.h>

namespace lacewing::config
{

std::string encode(const LogEntry &entry)
{
    return wire::encode(entry);
}

Result<LogEntry> decodeEntry(std::string_view bytes)
{
    return wire::decode<LogEntry>(bytes);
}

} // namespace lacewing::config
