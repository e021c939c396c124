#include "drivers/admin/contract_handlers.hpp"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <optional>

#include "core/contract/contract_registry.hpp"
#include "drivers/admin/admin_json.hpp"
#include "drivers/admin/admin_services.hpp"
#include "drivers/crypto/digest.hpp"
#include "drivers/crypto/random_token.hpp"
#include "drivers/json/contract_codec.hpp"
#include "servers/contracts/contract_editor.hpp"
#include "servers/decision_log.hpp"
#include "servers/wall_clock.hpp"

namespace fuchsiaquay {
namespace {

/// Attempts at a key change if other operators change the same contract concurrently.
constexpr int key_attempts = 3;

const char* to_text(edit_outcome outcome) {
    switch (outcome) {
        case edit_outcome::accepted:
            return "accepted";
        case edit_outcome::unchanged:
            return "unchanged";
        case edit_outcome::conflict:
            return "conflict";
        case edit_outcome::missing:
            return "missing";
        case edit_outcome::invalid:
            return "invalid";
        case edit_outcome::unavailable:
            return "unavailable";
        case edit_outcome::unknown:
            return "unknown";
    }
    return "unknown";
}

int to_status(edit_outcome outcome) {
    switch (outcome) {
        case edit_outcome::accepted:
        case edit_outcome::unchanged:
            return status_ok;
        case edit_outcome::conflict:
            return status_precondition_failed;
        case edit_outcome::missing:
            return status_not_found;
        case edit_outcome::invalid:
            return status_unprocessable;
        case edit_outcome::unavailable:
            return status_unavailable;
        case edit_outcome::unknown:
            return status_gateway_timeout;
    }
    return status_unavailable;
}

web::json::value print_edit(const contract_edit& edit) {
    web::json::value out = web::json::value::object(true);
    out["author"] = web::json::value::string(edit.author);
    out["at"] = web::json::value::string(edit.edited_at);
    out["deleted"] = web::json::value::boolean(edit.erased);
    return out;
}

/// Returns the revision in an `If-Match` header such as `"17"`, or nothing if it is malformed.
std::optional<std::int64_t> parse_etag(const std::string& text) {
    std::string digits = text;
    digits.erase(std::remove(digits.begin(), digits.end(), '"'), digits.end());
    std::int64_t revision = 0;
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, revision);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional<std::int64_t>(revision)
                                                         : std::nullopt;
}

/// Sets the expected revision from the request headers. Returns an error reply if it is missing or
/// malformed.
std::optional<admin_reply> read_precondition(const admin_request& request, edit_request& edit) {
    if (request.if_none_match == "*") {
        edit.expected_revision = 0;
        return std::nullopt;
    }
    if (request.if_match == "*") {
        return std::nullopt;
    }
    if (request.if_match.empty()) {
        return error_reply(status_precondition_required, "precondition_required",
                           "send If-Match with the revision that you saw, If-Match: * to replace "
                           "any, or If-None-Match: * to create");
    }
    edit.expected_revision = parse_etag(request.if_match);
    if (!edit.expected_revision) {
        return error_reply(status_bad_request, "bad_if_match",
                           "If-Match has to be a revision in quotation marks or *");
    }
    return std::nullopt;
}

}  // namespace

void contract_handlers::list(const admin_call& call) const {
    const auto& contracts = services_.registry.table()->all();
    web::json::value items = web::json::value::array(contracts.size());
    for (std::size_t i = 0; i < contracts.size(); ++i) {
        web::json::value item = web::json::value::object(true);
        item["customer"] = web::json::value::string(contracts[i]->customer.value());
        item["revision"] = web::json::value::number(contracts[i]->revision);
        item["ranks"] = web::json::value::number(static_cast<int>(contracts[i]->ranks.size()));
        item["keys"] = web::json::value::number(static_cast<int>(contracts[i]->key_digests.size()));
        items[i] = item;
    }
    web::json::value body = web::json::value::object(true);
    body["contracts"] = items;
    call.done(json_reply(status_ok, body));
}

void contract_handlers::read(const admin_call& call) const {
    const customer_id customer(call.parameter("customer"));
    const auto found = services_.registry.table()->find(customer);
    if (!found) {
        call.done(error_reply(status_not_found, "missing", "there is no such contract"));
        return;
    }
    admin_reply reply;
    reply.body = print_contract(*found);
    set_revision(reply, found->revision);
    call.done(reply);
}

void contract_handlers::write(const admin_call& call) const {
    edit_request edit;
    edit.customer = customer_id(call.parameter("customer"));
    edit.document = call.request.body;
    edit.author = call.author.name;
    edit.edited_at = utc_now();
    edit.dry_run = call.dry_run();
    if (const auto refused = read_precondition(call.request, edit)) {
        call.done(*refused);
        return;
    }
    if (edit.document.empty()) {
        call.done(error_reply(status_unprocessable, "invalid", "the body has to be a contract"));
        return;
    }
    services_.editor.edit(edit,
                          [this, call](const edit_result& result) { finish(call, result, ""); });
}

void contract_handlers::erase(const admin_call& call) const {
    edit_request edit;
    edit.customer = customer_id(call.parameter("customer"));
    edit.author = call.author.name;
    edit.edited_at = utc_now();
    edit.dry_run = call.dry_run();
    if (const auto refused = read_precondition(call.request, edit)) {
        call.done(*refused);
        return;
    }
    services_.editor.edit(edit,
                          [this, call](const edit_result& result) { finish(call, result, ""); });
}

void contract_handlers::history(const admin_call& call) const {
    services_.editor.history(
        customer_id(call.parameter("customer")),
        [call](const contract_editor::history_result& result) {
            if (!result.failure.empty()) {
                call.done(error_reply(status_unavailable, "unavailable", result.failure));
                return;
            }
            web::json::value items = web::json::value::array();
            std::size_t count = 0;
            if (result.revision != 0) {
                web::json::value item = print_edit(result.history.current);
                item["revision"] = web::json::value::number(result.revision);
                item["contract"] = parse_or_null(result.document);
                items[count++] = item;
            }
            for (const past_revision& past : result.history.past) {
                web::json::value item = print_edit(past.edit);
                item["revision"] = web::json::value::number(past.revision);
                item["contract"] = parse_or_null(past.document);
                items[count++] = item;
            }
            web::json::value body = web::json::value::object(true);
            body["revisions"] = items;
            call.done(json_reply(status_ok, body));
        });
}

void contract_handlers::issue_key(const admin_call& call) const {
    change_keys(call, "", random_token("fq_"), key_attempts);
}

void contract_handlers::rotate_key(const admin_call& call) const {
    change_keys(call, call.parameter("digest"), random_token("fq_"), key_attempts);
}

void contract_handlers::revoke_key(const admin_call& call) const {
    change_keys(call, call.parameter("digest"), "", key_attempts);
}

void contract_handlers::change_keys(const admin_call& call, const std::string& remove,
                                    const std::string& key, int attempts) const {
    const customer_id customer(call.parameter("customer"));
    services_.editor.history(customer, [this, call, customer, remove, key,
                                        attempts](const contract_editor::history_result& present) {
        if (!present.failure.empty()) {
            call.done(error_reply(status_unavailable, "unavailable", present.failure));
            return;
        }
        if (present.revision == 0) {
            call.done(error_reply(status_not_found, "missing", "there is no such contract"));
            return;
        }
        contract changed = parse_contract(present.document, present.revision);
        auto& digests = changed.key_digests;
        const auto found = std::find(digests.begin(), digests.end(), remove);
        if (!remove.empty() && found == digests.end()) {
            call.done(error_reply(status_not_found, "missing", "the contract has no such key"));
            return;
        }
        if (!remove.empty()) {
            digests.erase(found);
        }
        if (!key.empty()) {
            digests.push_back(sha256_hex(key));
        }
        edit_request edit;
        edit.customer = customer;
        edit.document = print_contract(changed);
        edit.expected_revision = present.revision;
        edit.author = call.author.name;
        edit.edited_at = utc_now();
        edit.dry_run = call.dry_run();
        services_.editor.edit(edit, [this, call, remove, key, attempts](const edit_result& result) {
            if (result.outcome == edit_outcome::conflict && attempts > 1) {
                change_keys(call, remove, key, attempts - 1);
                return;
            }
            finish(call, result, key);
        });
    });
}

void contract_handlers::finish(const admin_call& call, const edit_result& result,
                               const std::string& key) const {
    audit(call, result);
    const bool done =
        result.outcome == edit_outcome::accepted || result.outcome == edit_outcome::unchanged;
    if (!done) {
        const bool maybe = result.outcome == edit_outcome::unknown;
        admin_reply reply = error_reply(to_status(result.outcome), to_text(result.outcome),
                                        result.message, maybe ? "maybe" : "no");
        if (result.outcome == edit_outcome::conflict) {
            web::json::value body = parse_or_null(reply.body);
            body["revision"] = web::json::value::number(result.revision);
            body["contract"] = parse_or_null(result.document);
            reply = json_reply(reply.status, body);
            set_revision(reply, result.revision);
        }
        call.done(reply);
        return;
    }
    web::json::value body = web::json::value::object(true);
    body["outcome"] = web::json::value::string(to_text(result.outcome));
    body["dry_run"] = web::json::value::boolean(call.dry_run());
    body["revision"] = web::json::value::number(result.revision);
    if (!key.empty() && !call.dry_run()) {
        body["key"] = web::json::value::string(key);
        body["digest"] = web::json::value::string(sha256_hex(key));
    }
    admin_reply reply = json_reply(status_ok, body);
    set_revision(reply, result.revision);
    call.done(reply);
}

void contract_handlers::audit(const admin_call& call, const edit_result& result) const {
    services_.log.write(decision_log::level::info, "admin_change",
                        {{"operator", call.author.name},
                         {"method", call.request.method},
                         {"path", call.request.path},
                         {"dry_run", call.dry_run() ? "true" : "false"},
                         {"outcome", to_text(result.outcome)},
                         {"revision", std::to_string(result.revision)}});
}

std::string contract_handlers::utc_now() const {
    constexpr std::int64_t milliseconds_per_second = 1000;
    const std::time_t seconds = services_.clock.unix_ms() / milliseconds_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    constexpr std::size_t max_bytes = 32;
    char text[max_bytes];
    return std::string(text, std::strftime(text, max_bytes, "%Y-%m-%dT%H:%M:%SZ", &parts));
}

}  // namespace fuchsiaquay
