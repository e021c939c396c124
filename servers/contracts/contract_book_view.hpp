#pragma once

#include <memory>
#include <string>

#include "core/contract/contract_book.hpp"
#include "servers/views/contract_view.hpp"

namespace fuchsiaquay {

/// The contracts of a book as the request filters see them.
class contract_book_view final : public contract_view {
public:
    explicit contract_book_view(const contract_book& book) : book_(book) {}

    std::shared_ptr<const contract> find_by_key(const std::string& key_digest) const override {
        return book_.table()->find_by_key(key_digest);
    }
    std::shared_ptr<const contract> find(const customer_id& customer) const override {
        return book_.table()->find(customer);
    }
    bool ready() const override { return book_.caught_up(); }

private:
    const contract_book& book_;
};

}  // namespace fuchsiaquay
