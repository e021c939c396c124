#include <fstream>
#include <ostream>
#include <sstream>

#include "ctl/console/admin_channel.hpp"
#include "ctl/console/command_registry.hpp"
#include "ctl/console/failure_report.hpp"
#include "ctl/console/text_diff.hpp"
#include "ctl/console/text_table.hpp"
#include "drivers/json/contract_codec.hpp"
#include "drivers/json/field_reader.hpp"
#include "drivers/json/json_text.hpp"

namespace fuchsiaquay {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 412;
constexpr std::size_t most_items = 100000;
constexpr std::int64_t most_revision = INT64_MAX;

/// A contract from a file beside the one in force.
struct comparison {
    contract wanted;
    std::string wanted_text;
    /// Empty when there is none.
    std::string present_text;
    std::string etag;
};

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw json_error("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string contract_path(const std::string& customer) {
    return "/contracts/" + customer;
}

admin_channel::call make_call(const command_context& at, const std::string& method,
                              const std::string& path) {
    admin_channel::call call;
    call.method = method;
    call.path = path + (at.options.dry_run && method != "GET" ? "?dry_run=true" : "");
    return call;
}

exit_code print_body(const command_context& at, const admin_channel::response& response) {
    const exit_code code = report_failure(at, response);
    if (code == exit_code::done) {
        at.out << indent_json(response.body);
    }
    return code;
}

/// Contract in a file. One that lists no keys keeps those in force, so that applying a file does
/// not revoke keys that were issued since.
contract read_wanted(const std::string& path, const std::string& present) {
    const std::string text = read_file(path);
    contract wanted = parse_contract(text, 0);
    field_reader fields(parse_object(text), "");
    if (!fields.has("keys") && !present.empty()) {
        wanted.key_digests = parse_contract(present, 0).key_digests;
    }
    return wanted;
}

exit_code compare(const command_context& at, const std::string& path, comparison& result) {
    const std::string customer = parse_contract(read_file(path), 0).customer.value();
    const auto response = at.channel.send(make_call(at, "GET", contract_path(customer)));
    if (response.status != status_ok && response.status != status_not_found) {
        const exit_code code = report_failure(at, response);
        return code == exit_code::done ? exit_code::refused : code;
    }
    const std::string present = response.status == status_ok ? response.body : "";
    result.wanted = read_wanted(path, present);
    result.wanted_text = print_contract(result.wanted);
    result.present_text = present.empty() ? "" : print_contract(parse_contract(present, 0));
    result.etag = response.etag;
    return exit_code::done;
}

std::string diff_of(const std::string& before, const std::string& after) {
    return text_diff(before.empty() ? "" : indent_json(before), indent_json(after));
}

exit_code show_conflict(const command_context& at, const admin_channel::response& response,
                        const std::string& wanted) {
    const web::json::value body = parse_object(response.body);
    const bool shown = body.has_object_field("contract");
    const std::string present = shown ? body.at("contract").serialize() : "";
    if (shown && print_contract(parse_contract(present, 0)) == wanted) {
        // An earlier copy of this very change, whose answer was lost.
        at.out << "accepted before\n";
        return exit_code::done;
    }
    const exit_code code = report_failure(at, response);
    at.out << diff_of(shown ? print_contract(parse_contract(present, 0)) : "", wanted);
    return code;
}

exit_code apply_file(const command_context& at, const std::string& path) {
    comparison found;
    const exit_code compared = compare(at, path, found);
    if (compared != exit_code::done) {
        return compared;
    }
    const std::string customer = found.wanted.customer.value();
    if (found.present_text == found.wanted_text) {
        at.out << customer << " unchanged\n";
        return exit_code::done;
    }
    admin_channel::call call = make_call(at, "PUT", contract_path(customer));
    call.body = found.wanted_text;
    const std::string revision = at.options.value("revision", "");
    if (!revision.empty()) {
        call.headers["If-Match"] = "\"" + revision + "\"";
    } else if (found.present_text.empty()) {
        call.headers["If-None-Match"] = "*";
    } else {
        call.headers["If-Match"] = found.etag;
    }
    const auto response = at.channel.send(call);
    if (response.status == status_conflict) {
        return show_conflict(at, response, found.wanted_text);
    }
    const exit_code code = report_failure(at, response);
    if (code == exit_code::done) {
        if (at.options.dry_run) {
            at.out << diff_of(found.present_text, found.wanted_text);
        }
        at.out << customer << (at.options.dry_run ? " would change" : " accepted at revision ")
               << (at.options.dry_run ? "" : response.etag) << "\n";
    }
    return code;
}

exit_code apply(const command_context& at) {
    for (const std::string& path : at.arguments) {
        const exit_code code = apply_file(at, path);
        if (code != exit_code::done) {
            return code;
        }
    }
    return exit_code::done;
}

exit_code diff(const command_context& at) {
    comparison found;
    const exit_code compared = compare(at, at.arguments[0], found);
    if (compared != exit_code::done) {
        return compared;
    }
    const std::string text = diff_of(found.present_text, found.wanted_text);
    at.out << text;
    return text.empty() ? exit_code::done : exit_code::differs;
}

exit_code get(const command_context& at) {
    return print_body(at, at.channel.send(make_call(at, "GET", contract_path(at.arguments[0]))));
}

exit_code list(const command_context& at) {
    const auto response = at.channel.send(make_call(at, "GET", "/contracts"));
    if (at.options.json || response.status != status_ok) {
        return print_body(at, response);
    }
    text_table table({"CUSTOMER", "REVISION", "RANKS", "KEYS"});
    field_reader fields(parse_object(response.body), "");
    for (const auto& [item, path] : fields.items("contracts", most_items)) {
        field_reader inner(item, path);
        table.add({inner.name("customer"),
                   std::to_string(inner.integer("revision", 0, most_revision)),
                   std::to_string(inner.integer("ranks", 0, most_revision)),
                   std::to_string(inner.integer("keys", 0, most_revision))});
    }
    table.print(at.out);
    return exit_code::done;
}

exit_code erase(const command_context& at) {
    const std::string path = contract_path(at.arguments[0]);
    std::string etag = at.options.value("revision", "");
    if (etag.empty()) {
        const auto present = at.channel.send(make_call(at, "GET", path));
        if (present.status == status_not_found) {
            at.out << at.arguments[0] << " is not there\n";
            return exit_code::done;
        }
        if (present.status != status_ok) {
            return report_failure(at, present);
        }
        etag = present.etag;
    } else {
        etag = "\"" + etag + "\"";
    }
    admin_channel::call call = make_call(at, "DELETE", path);
    call.headers["If-Match"] = etag;
    return print_body(at, at.channel.send(call));
}

exit_code history(const command_context& at) {
    const auto response =
        at.channel.send(make_call(at, "GET", contract_path(at.arguments[0]) + "/history"));
    if (at.options.json || response.status != status_ok) {
        return print_body(at, response);
    }
    text_table table({"REVISION", "AT", "AUTHOR", "DELETED"});
    field_reader fields(parse_object(response.body), "");
    for (const auto& [item, path] : fields.items("revisions", most_items)) {
        field_reader inner(item, path);
        table.add({std::to_string(inner.integer("revision", 0, most_revision)),
                   inner.text_or("at", response.body.size(), "-"),
                   inner.text_or("author", response.body.size(), "-"),
                   inner.bool_or("deleted", false) ? "yes" : "no"});
    }
    table.print(at.out);
    return exit_code::done;
}

exit_code change_key(const command_context& at, const std::string& method,
                     const std::string& path) {
    admin_channel::call call = make_call(at, method, contract_path(at.arguments[0]) + path);
    // Sent twice, it would issue two keys of which one is never shown.
    call.idempotent = method == "DELETE";
    return print_body(at, at.channel.send(call));
}

}  // namespace

void add_contract_commands(command_registry& registry) {
    registry.add({"contract list", "", "contracts in force on the node", 0, list});
    registry.add({"contract get", "CUSTOMER", "one contract as JSON", 1, get});
    registry.add({"contract apply", "FILE...", "make contracts as the files say", 1, apply});
    registry.add({"contract diff", "FILE", "what apply would change", 1, diff});
    registry.add({"contract delete", "CUSTOMER", "delete a contract", 1, erase});
    registry.add({"contract history", "CUSTOMER", "revisions with author and time", 1, history});
    registry.add({"key issue", "CUSTOMER", "issue a caller key, shown this once", 1,
                  [](const command_context& at) { return change_key(at, "POST", "/keys"); }});
    registry.add({"key rotate", "CUSTOMER DIGEST", "replace a caller key by a new one", 2,
                  [](const command_context& at) {
                      return change_key(at, "POST", "/keys/" + at.arguments[1] + "/rotate");
                  }});
    registry.add(
        {"key revoke", "CUSTOMER DIGEST", "revoke a caller key", 2, [](const command_context& at) {
             return change_key(at, "DELETE", "/keys/" + at.arguments[1]);
         }});
}

}  // namespace fuchsiaquay
