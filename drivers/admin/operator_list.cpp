#include "drivers/admin/operator_list.hpp"

#include "drivers/crypto/digest.hpp"
#include "drivers/json/field_reader.hpp"
#include "drivers/json/json_text.hpp"

namespace fuchsiaquay {
namespace {

constexpr std::size_t max_operators = 1000;
constexpr std::size_t max_role_bytes = 16;
constexpr std::size_t digest_digits = 64;

operator_role read_role(field_reader& fields) {
    const std::string role = fields.text("role", max_role_bytes);
    if (role == "read") {
        return operator_role::read;
    }
    if (role == "change") {
        return operator_role::change;
    }
    throw field_error(fields.path("role"), "has to be read or change");
}

}  // namespace

operator_list operator_list::parse(const std::string& json) {
    try {
        operator_list list;
        field_reader fields(parse_object(json), "");
        for (const auto& [item, path] : fields.items("operators", max_operators)) {
            field_reader inner(item, path);
            entry next;
            next.identity.name = inner.name("name");
            next.identity.role = read_role(inner);
            next.token_digest = inner.text("token_sha256", digest_digits);
            inner.reject_unknown_members();
            list.add(std::move(next));
        }
        fields.reject_unknown_members();
        return list;
    } catch (const field_error& error) {
        throw json_error("operators: " + error.field() + ": " + error.what());
    }
}

std::optional<operator_identity> operator_list::find(const std::string& token) const {
    const std::string digest = sha256_hex(token);
    std::optional<operator_identity> found;
    for (const entry& known : entries_) {
        // Does not stop at a match, as the duration must not reveal which entry matches.
        if (constant_time_equal(known.token_digest, digest) && !token.empty()) {
            found = known.identity;
        }
    }
    return found;
}

}  // namespace fuchsiaquay
