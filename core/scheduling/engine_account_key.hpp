#pragma once

#include <cstdint>
#include <string>

namespace fuchsiaquay {

/// Identifies a client account at a service on all hosts: the hash of the service in the upper half
/// and that of the account in the lower half. Never 0.
std::uint64_t engine_account_key(const std::string& service, const std::string& customer);

/// Identifies the service of an `engine_account_key`.
std::uint32_t service_of(std::uint64_t account_key);

}  // namespace fuchsiaquay
