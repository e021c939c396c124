#include "core/scheduling/engine_account_key.hpp"

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {
namespace {

constexpr int half_bits = 32;
constexpr std::uint64_t lower_half = 0xffff'ffff;

}  // namespace

std::uint64_t engine_account_key(const std::string& service, const std::string& customer) {
    const std::uint64_t key =
        stable_hash(service) << half_bits | (stable_hash(customer) & lower_half);
    return key == 0 ? 1 : key;
}

std::uint32_t service_of(std::uint64_t account_key) {
    return static_cast<std::uint32_t>(account_key >> half_bits);
}

}  // namespace fuchsiaquay
