#include "sample.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data,
                                      std::size_t size) // NOLINT(readability-identifier-naming)
{
    lacewing::wire::sample::checkInput({ reinterpret_cast<const char *>(data), size });
    return 0;
}
