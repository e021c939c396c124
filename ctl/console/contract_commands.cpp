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
constexpr std::size_t max_items = 100000;
constexpr std::int64_t max_revision = INT64_MAX;

/// A contract read from a file and the contract in force.
struct comparison {
    contract desired;
    std::string desired_text;
    /// Empty when no contract is in force.
    std::string current_text;
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

admin_channel::call make_call(const command_context& context, const std::string& method,
                              const std::string& path) {
    admin_channel::call call;
    call.method = method;
    call.path = path + (context.options.dry_run && method != "GET" ? "?dry_run=true" : "");
    return call;
}

exit_code print_body(const command_context& context, const admin_channel::response& response) {
    const exit_code code = report_failure(context, response);
    if (code == exit_code::done) {
        context.out << indent_json(response.body);
    }
    return code;
}

/// Reads the contract in a file. A file that lists no keys keeps the keys in force, so that
/// applying it does not revoke keys that were issued since it was written.
contract read_desired_contract(const std::string& path, const std::string& current) {
    const std::string text = read_file(path);
    contract desired = parse_contract(text, 0);
    field_reader fields(parse_object(text), "");
    if (!fields.has("keys") && !current.empty()) {
        desired.key_digests = parse_contract(current, 0).key_digests;
    }
    return desired;
}

exit_code compare(const command_context& context, const std::string& path, comparison& result) {
    const std::string customer = parse_contract(read_file(path), 0).customer.value();
    const auto response = context.channel.send(make_call(context, "GET", contract_path(customer)));
    if (response.status != status_ok && response.status != status_not_found) {
        const exit_code code = report_failure(context, response);
        return code == exit_code::done ? exit_code::refused : code;
    }
    const std::string current = response.status == status_ok ? response.body : "";
    result.desired = read_desired_contract(path, current);
    result.desired_text = print_contract(result.desired);
    result.current_text = current.empty() ? "" : print_contract(parse_contract(current, 0));
    result.etag = response.etag;
    return exit_code::done;
}

std::string diff_of(const std::string& before, const std::string& after) {
    return text_diff(before.empty() ? "" : indent_json(before), indent_json(after));
}

exit_code show_conflict(const command_context& context, const admin_channel::response& response,
                        const std::string& desired) {
    const web::json::value body = parse_object(response.body);
    const bool shown = body.has_object_field("contract");
    const std::string current = shown ? body.at("contract").serialize() : "";
    if (shown && print_contract(parse_contract(current, 0)) == desired) {
        // An earlier attempt of the same change was accepted, but its response was lost.
        context.out << "accepted before\n";
        return exit_code::done;
    }
    const exit_code code = report_failure(context, response);
    context.out << diff_of(shown ? print_contract(parse_contract(current, 0)) : "", desired);
    return code;
}

exit_code apply_file(const command_context& context, const std::string& path) {
    comparison found;
    const exit_code compared = compare(context, path, found);
    if (compared != exit_code::done) {
        return compared;
    }
    const std::string customer = found.desired.customer.value();
    if (found.current_text == found.desired_text) {
        context.out << customer << " unchanged\n";
        return exit_code::done;
    }
    admin_channel::call call = make_call(context, "PUT", contract_path(customer));
    call.body = found.desired_text;
    const std::string revision = context.options.value("revision", "");
    if (!revision.empty()) {
        call.headers["If-Match"] = "\"" + revision + "\"";
    } else if (found.current_text.empty()) {
        call.headers["If-None-Match"] = "*";
    } else {
        call.headers["If-Match"] = found.etag;
    }
    const auto response = context.channel.send(call);
    if (response.status == status_conflict) {
        return show_conflict(context, response, found.desired_text);
    }
    const exit_code code = report_failure(context, response);
    if (code == exit_code::done) {
        if (context.options.dry_run) {
            context.out << diff_of(found.current_text, found.desired_text);
        }
        context.out << customer
                    << (context.options.dry_run ? " would change" : " accepted at revision ")
                    << (context.options.dry_run ? "" : response.etag) << "\n";
    }
    return code;
}

exit_code apply(const command_context& context) {
    for (const std::string& path : context.arguments) {
        const exit_code code = apply_file(context, path);
        if (code != exit_code::done) {
            return code;
        }
    }
    return exit_code::done;
}

exit_code diff(const command_context& context) {
    comparison found;
    const exit_code compared = compare(context, context.arguments[0], found);
    if (compared != exit_code::done) {
        return compared;
    }
    const std::string text = diff_of(found.current_text, found.desired_text);
    context.out << text;
    return text.empty() ? exit_code::done : exit_code::differs;
}

exit_code get(const command_context& context) {
    return print_body(context, context.channel.send(
                                   make_call(context, "GET", contract_path(context.arguments[0]))));
}

exit_code list(const command_context& context) {
    const auto response = context.channel.send(make_call(context, "GET", "/contracts"));
    if (context.options.json || response.status != status_ok) {
        return print_body(context, response);
    }
    text_table table({"CUSTOMER", "REVISION", "RANKS", "KEYS"});
    field_reader fields(parse_object(response.body), "");
    for (const auto& [item, path] : fields.items("contracts", max_items)) {
        field_reader inner(item, path);
        table.add({inner.name("customer"),
                   std::to_string(inner.integer("revision", 0, max_revision)),
                   std::to_string(inner.integer("ranks", 0, max_revision)),
                   std::to_string(inner.integer("keys", 0, max_revision))});
    }
    table.print(context.out);
    return exit_code::done;
}

exit_code erase(const command_context& context) {
    const std::string path = contract_path(context.arguments[0]);
    std::string etag = context.options.value("revision", "");
    if (etag.empty()) {
        const auto current = context.channel.send(make_call(context, "GET", path));
        if (current.status == status_not_found) {
            context.out << context.arguments[0] << " does not exist\n";
            return exit_code::done;
        }
        if (current.status != status_ok) {
            return report_failure(context, current);
        }
        etag = current.etag;
    } else {
        etag = "\"" + etag + "\"";
    }
    admin_channel::call call = make_call(context, "DELETE", path);
    call.headers["If-Match"] = etag;
    return print_body(context, context.channel.send(call));
}

exit_code history(const command_context& context) {
    const auto response = context.channel.send(
        make_call(context, "GET", contract_path(context.arguments[0]) + "/history"));
    if (context.options.json || response.status != status_ok) {
        return print_body(context, response);
    }
    text_table table({"REVISION", "AT", "AUTHOR", "DELETED"});
    field_reader fields(parse_object(response.body), "");
    for (const auto& [item, path] : fields.items("revisions", max_items)) {
        field_reader inner(item, path);
        table.add({std::to_string(inner.integer("revision", 0, max_revision)),
                   inner.text_or("at", response.body.size(), "-"),
                   inner.text_or("author", response.body.size(), "-"),
                   inner.bool_or("deleted", false) ? "yes" : "no"});
    }
    table.print(context.out);
    return exit_code::done;
}

exit_code change_key(const command_context& context, const std::string& method,
                     const std::string& path) {
    admin_channel::call call =
        make_call(context, method, contract_path(context.arguments[0]) + path);
    // Repeating a call that issues a key would issue a second key that is never shown.
    call.idempotent = method == "DELETE";
    return print_body(context, context.channel.send(call));
}

}  // namespace

void add_contract_commands(command_registry& registry) {
    registry.add({"contract list", "", "contracts in force on the node", 0, list});
    registry.add({"contract get", "CUSTOMER", "one contract as JSON", 1, get});
    registry.add({"contract apply", "FILE...", "create or update contracts from files", 1, apply});
    registry.add({"contract diff", "FILE", "show what apply would change", 1, diff});
    registry.add({"contract delete", "CUSTOMER", "delete a contract", 1, erase});
    registry.add({"contract history", "CUSTOMER", "revisions with author and time", 1, history});
    registry.add(
        {"key issue", "CUSTOMER", "issue a caller key; it is shown only once", 1,
         [](const command_context& context) { return change_key(context, "POST", "/keys"); }});
    registry.add({"key rotate", "CUSTOMER DIGEST", "replace a caller key by a new one", 2,
                  [](const command_context& context) {
                      return change_key(context, "POST",
                                        "/keys/" + context.arguments[1] + "/rotate");
                  }});
    registry.add({"key revoke", "CUSTOMER DIGEST", "revoke a caller key", 2,
                  [](const command_context& context) {
                      return change_key(context, "DELETE", "/keys/" + context.arguments[1]);
                  }});
}

}  // namespace fuchsiaquay
