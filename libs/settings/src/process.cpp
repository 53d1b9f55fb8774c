#include <settings/settings.h>

#include <fstream>
#include <random>
#include <sstream>

namespace lacewing::settings
{

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return failure(ErrorKind::Io, path + ": can't be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::uint64_t randomSeed()
{
    constexpr unsigned int halfBits = 32;
    std::random_device device;
    return (std::uint64_t(device()) << halfBits) | device();
}

} // namespace lacewing::settings
