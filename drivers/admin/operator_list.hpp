#pragma once

/// @file
/// Operators and the digests of their tokens, as stored under `fuchsiaquay/operators`:
///
///     {"operators":[{"name":"ann", "role":"read|change", "token_sha256":"<64 hex digits>"}]}

#include <optional>
#include <string>
#include <vector>

#include "servers/admin/operator_identity.hpp"

namespace fuchsiaquay {

constexpr const char* operators_key = "fuchsiaquay/operators";

/// The known operators. `find` compares the digest of the token with every entry in constant time,
/// which prevents timing attacks.
class operator_list {
public:
    struct entry {
        operator_identity identity;
        /// SHA-256 of the token in lower-case hexadecimal.
        std::string token_digest;
    };

    /// @throws json_error  names the invalid field
    static operator_list parse(const std::string& json);

    void add(entry operator_entry) { entries_.push_back(std::move(operator_entry)); }
    std::optional<operator_identity> find(const std::string& token) const;

private:
    std::vector<entry> entries_;
};

}  // namespace fuchsiaquay
