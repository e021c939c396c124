#include "core/fleet/text_delta.hpp"

#include <sstream>
#include <string_view>
#include <unordered_map>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

namespace {

/// Texts are compared in pieces that end with this character: the items of a list of JSON objects.
constexpr char piece_end = '}';

std::string_view piece_at(std::string_view text, std::size_t position) {
    const std::size_t end = text.find(piece_end, position);
    return text.substr(position, end == std::string_view::npos ? end : end + 1 - position);
}

/// Writes a delta and merges adjacent operations of the same kind.
class delta_writer {
public:
    explicit delta_writer(std::ostream& out) : out_(out) {}

    void copy(std::size_t offset, std::size_t length) {
        write_pending_text();
        if (offset != copy_end_ || copy_length_ == 0) {
            write_pending_copy();
            copy_offset_ = offset;
        }
        copy_length_ += length;
        copy_end_ = offset + length;
    }
    void add(std::string_view text) {
        write_pending_copy();
        added_ += text;
    }
    void finish() {
        write_pending_copy();
        write_pending_text();
    }

private:
    void write_pending_copy() {
        if (copy_length_ > 0) {
            out_ << "copy " << copy_offset_ << ' ' << copy_length_ << '\n';
        }
        copy_length_ = 0;
    }
    void write_pending_text() {
        if (!added_.empty()) {
            out_ << "add " << added_.size() << '\n' << added_;
        }
        added_.clear();
    }

    std::ostream& out_;
    std::size_t copy_offset_ = 0;
    std::size_t copy_length_ = 0;
    std::size_t copy_end_ = 0;
    std::string added_;
};

}  // namespace

std::string make_text_delta(const std::string& base, const std::string& target) {
    std::unordered_map<std::string_view, std::size_t> pieces;
    for (std::size_t position = 0; position < base.size();) {
        const std::string_view piece = piece_at(base, position);
        pieces.emplace(piece, position);
        position += piece.size();
    }
    std::ostringstream out;
    out << target.size() << ' ' << stable_hash(target) << '\n';
    delta_writer writer(out);
    std::size_t next_offset = 0;
    for (std::size_t position = 0; position < target.size();) {
        const std::string_view piece = piece_at(target, position);
        position += piece.size();
        if (base.compare(next_offset, piece.size(), piece) == 0) {
            writer.copy(next_offset, piece.size());
            next_offset += piece.size();
            continue;
        }
        const auto known = pieces.find(piece);
        if (known == pieces.end()) {
            writer.add(piece);
            continue;
        }
        writer.copy(known->second, piece.size());
        next_offset = known->second + piece.size();
    }
    writer.finish();
    return out.str();
}

std::optional<std::string> apply_text_delta(const std::string& base, const std::string& delta) {
    std::istringstream in(delta);
    std::size_t size = 0;
    std::uint64_t hash = 0;
    if (!(in >> size >> hash)) {
        return std::nullopt;
    }
    std::string result;
    for (std::string operation; in >> operation;) {
        std::size_t offset = 0;
        std::size_t length = 0;
        const bool copies = operation == "copy";
        const bool read = copies ? static_cast<bool>(in >> offset >> length)
                                 : operation == "add" && static_cast<bool>(in >> length);
        if (!read || length > size - result.size() || in.get() != '\n') {
            return std::nullopt;
        }
        if (copies) {
            if (offset > base.size() || length > base.size() - offset) {
                return std::nullopt;
            }
            result.append(base, offset, length);
            continue;
        }
        std::string added(length, '\0');
        if (!in.read(added.data(), static_cast<std::streamsize>(length))) {
            return std::nullopt;
        }
        result += added;
    }
    if (result.size() != size || stable_hash(result) != hash) {
        return std::nullopt;
    }
    return result;
}

}  // namespace fuchsiaquay
