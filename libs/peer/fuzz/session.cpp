#include "feed.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data,
                                      std::size_t size) // NOLINT(readability-identifier-naming)
{
    lacewing::peer::sample::feed({ reinterpret_cast<const char *>(data), size });
    return 0;
}
