// The parser of idempotency keys, which come from callers.

#include <cstdint>
#include <cstdlib>

#include "Ledger/IdempotencyKey.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using LaburnumChute::Ledger::IdempotencyKey;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto key = IdempotencyKey::parse(text);
    if (!key) {
        return 0;
    }
    const auto again = IdempotencyKey::parse(key->text());
    if (!again || *again != *key) {
        std::abort();
    }
    return 0;
}
