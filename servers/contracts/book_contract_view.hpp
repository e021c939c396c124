#pragma once

#include "servers/views/contract_view.hpp"

namespace fuchsiaquay {

class contract_book;

/// The contracts of a node's book.
class book_contract_view final : public contract_view {
public:
    /// `book` must outlive the view.
    explicit book_contract_view(const contract_book& book) : book_(book) {}

    std::shared_ptr<const contract> find_by_key(const std::string& key_digest) const override;
    std::shared_ptr<const contract> find(const customer_id& customer) const override;
    bool ready() const override;

private:
    const contract_book& book_;
};

}  // namespace fuchsiaquay
