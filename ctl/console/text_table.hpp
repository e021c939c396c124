#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace fuchsiaquay {

/// Rows of text in aligned columns under a header line.
class text_table {
public:
    explicit text_table(std::vector<std::string> header) { add(std::move(header)); }

    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    void print(std::ostream& out) const;

private:
    std::vector<std::vector<std::string>> rows_;
};

}  // namespace fuchsiaquay
