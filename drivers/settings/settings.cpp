#include "drivers/settings/settings.hpp"

#include <arpa/inet.h>
#include <ini.h>

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

#include "drivers/settings/setting_definition.hpp"
#include "drivers/settings/settings_error.hpp"

namespace fuchsiaquay {

namespace {

using key_name = std::pair<std::string, std::string>;

constexpr std::size_t address_bytes = 16;

std::optional<std::int64_t> parse_integer(const std::string& text) {
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<double> parse_number(const std::string& text) {
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !std::isfinite(value)) {
        return std::nullopt;
    }
    return value;
}

bool is_ip_address(const std::string& text) {
    unsigned char buffer[address_bytes] = {};
    return inet_pton(AF_INET, text.c_str(), buffer) == 1 ||
           inet_pton(AF_INET6, text.c_str(), buffer) == 1;
}

/// Provides lines to the inih parser and collects the validated values and the faults.
class reader {
public:
    reader(std::string file, const std::vector<setting_definition>& definitions)
        : file_(std::move(file)), stream_(file_), definitions_(definitions) {}

    void run(const std::vector<std::string>& overrides) {
        if (!stream_) {
            faults_.push_back(file_ + ":0: cannot be read; allowed: a readable INI file");
            return;
        }
        const int bad_line = ini_parse_stream(&reader::next_line, this, &reader::entry, this);
        if (bad_line > 0) {
            fault(bad_line, "line", "not understood; allowed: [section] or key = value");
        }
        for (const std::string& text : overrides) {
            apply_override(text);
        }
        fill_defaults();
    }

    settings::values take_values() { return std::move(values_); }
    const std::vector<std::string>& faults() const { return faults_; }

private:
    static char* next_line(char* buffer, int size, void* self) {
        auto* parser = static_cast<reader*>(self);
        std::string line;
        if (!std::getline(parser->stream_, line)) {
            return nullptr;
        }
        ++parser->line_;
        const std::size_t room = static_cast<std::size_t>(size) - 2;
        if (line.size() > room) {
            parser->fault(parser->line_, "line",
                          "too long; allowed: " + std::to_string(room) + " bytes");
            line.clear();
        }
        const std::string kept = line + "\n";
        kept.copy(buffer, kept.size());
        buffer[kept.size()] = '\0';
        return buffer;
    }

    static int entry(void* self, const char* section, const char* key, const char* value) {
        auto* parser = static_cast<reader*>(self);
        parser->accept({section, key}, value, parser->line_);
        return 1;
    }

    void apply_override(const std::string& text) {
        const auto dot = text.find('.');
        const auto equals = text.find('=');
        if (dot == std::string::npos || equals == std::string::npos || equals < dot) {
            faults_.push_back("command line: " + text + ": allowed: section.key=value");
            return;
        }
        const key_name name{text.substr(0, dot), text.substr(dot + 1, equals - dot - 1)};
        seen_.erase(name);
        accept(name, text.substr(equals + 1), 0);
    }

    void accept(const key_name& name, const std::string& value, int line) {
        const setting_definition* definition = find(name);
        if (definition == nullptr) {
            fault(line, name.first + "." + name.second, "unknown; allowed: " + allowed_keys(name));
            return;
        }
        if (!seen_.insert(name).second) {
            fault(line, name.first + "." + name.second, "duplicate; allowed: once");
            return;
        }
        const std::string error = check(*definition, value);
        if (!error.empty()) {
            fault(line, name.first + "." + name.second, error);
            return;
        }
        values_[name] = value;
    }

    void fill_defaults() {
        for (const setting_definition& definition : definitions_) {
            const key_name name{definition.section, definition.key};
            if (seen_.count(name) > 0) {
                continue;
            }
            if (definition.required) {
                fault(0, definition.section + "." + definition.key,
                      "missing; required: " + definition.description);
                continue;
            }
            values_[name] = definition.default_value;
        }
    }

    const setting_definition* find(const key_name& name) const {
        for (const setting_definition& definition : definitions_) {
            if (definition.section == name.first && definition.key == name.second) {
                return &definition;
            }
        }
        return nullptr;
    }

    std::string allowed_keys(const key_name& name) const {
        std::set<std::string> keys;
        std::set<std::string> sections;
        for (const setting_definition& definition : definitions_) {
            sections.insert(definition.section);
            if (definition.section == name.first) {
                keys.insert(definition.key);
            }
        }
        std::string text = keys.empty() ? "sections" : "keys";
        for (const std::string& word : keys.empty() ? sections : keys) {
            text += " " + word;
        }
        return text;
    }

    static std::string check(const setting_definition& definition, const std::string& value) {
        if (definition.type == setting_type::ip_address && !is_ip_address(value)) {
            return "'" + value + "' is no address; allowed: an IP number";
        }
        if (definition.type == setting_type::integer) {
            return check_range(definition, value, "whole number", parse_integer(value));
        }
        if (definition.type == setting_type::number) {
            return check_range(definition, value, "number", parse_number(value));
        }
        return definition.required && value.empty() ? "empty; allowed: a text" : "";
    }

    template <typename value_type>
    static std::string check_range(const setting_definition& definition, const std::string& value,
                                   const std::string& kind,
                                   const std::optional<value_type>& number) {
        const std::string range = "allowed: a " + kind + " from " +
                                  std::to_string(definition.minimum) + " to " +
                                  std::to_string(definition.maximum) + " " + definition.unit;
        if (!number) {
            return "'" + value + "' is no " + kind + "; " + range;
        }
        const auto minimum = static_cast<value_type>(definition.minimum);
        const auto maximum = static_cast<value_type>(definition.maximum);
        if (*number < minimum || *number > maximum) {
            return "'" + value + "' is out of range; " + range;
        }
        return "";
    }

    void fault(int line, const std::string& key, const std::string& what) {
        const std::string where = file_ + ":" + std::to_string(line);
        faults_.push_back(where + ": " + key + ": " + what);
    }

    std::string file_;
    std::ifstream stream_;
    const std::vector<setting_definition>& definitions_;
    int line_ = 0;
    std::set<key_name> seen_;
    settings::values values_;
    std::vector<std::string> faults_;
};

}  // namespace

const std::string& settings::text(const std::string& section, const std::string& key) const {
    return values_.at({section, key});
}

std::int64_t settings::integer(const std::string& section, const std::string& key) const {
    return parse_integer(text(section, key)).value_or(0);
}

double settings::number(const std::string& section, const std::string& key) const {
    return parse_number(text(section, key)).value_or(0.0);
}

std::vector<std::string> settings::list(const std::string& section, const std::string& key) const {
    return split_list(text(section, key));
}

std::vector<std::string> split_list(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        const auto first = part.find_first_not_of(" \t");
        if (first == std::string::npos) {
            continue;
        }
        const auto last = part.find_last_not_of(" \t");
        parts.push_back(part.substr(first, last - first + 1));
    }
    return parts;
}

settings load_settings(const std::string& file, const std::vector<setting_definition>& definitions,
                       const std::vector<std::string>& overrides) {
    reader source(file, definitions);
    source.run(overrides);
    if (!source.faults().empty()) {
        throw settings_error(file, source.faults());
    }
    return settings(source.take_values());
}

}  // namespace fuchsiaquay
