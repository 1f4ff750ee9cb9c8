#include "config/selector.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace endiveward::config
{

namespace
{

constexpr std::size_t max_label_size = 128;

bool is_word_char(char it)
{
    return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
           (it >= '0' && it <= '9') || it == '.' || it == '_' || it == '-' ||
           it == '/' || it == ':';
}

kernel::error syntax_error(std::string_view text, std::size_t at,
                           std::string_view problem)
{
    return {
        kernel::error_kind::invalid_request,
        fmt::format("selector \"{}\", position {}: {}", text, at + 1, problem),
        kernel::run_state::not_run, std::nullopt};
}

} // namespace

bool is_label_value(std::string_view text)
{
    return text.size() <= max_label_size &&
           std::all_of(text.begin(), text.end(), is_word_char);
}

bool is_label_key(std::string_view text)
{
    return !text.empty() && is_label_value(text) &&
           text.find(':') == std::string_view::npos;
}

/// Recursive-descent parser that stops at the first error.
class selector_parser
{
public:
    explicit selector_parser(std::string_view text)
        : text_(text)
    {
    }

    kernel::result<selector> run()
    {
        selector out;
        skip_blanks();
        if (at_end())
            return out;
        while (!problem_)
        {
            parse_requirement(out);
            skip_blanks();
            if (problem_ || at_end())
                break;
            if (!accept(','))
                fail("expected ',' between requirements");
        }
        if (problem_)
            return *problem_;
        return out;
    }

private:
    bool at_end() const { return position_ == text_.size(); }

    void skip_blanks()
    {
        while (!at_end() &&
               (text_[position_] == ' ' || text_[position_] == '\t'))
            ++position_;
    }

    bool accept(char expected)
    {
        skip_blanks();
        if (at_end() || text_[position_] != expected)
            return false;
        ++position_;
        return true;
    }

    void fail(std::string_view problem) { fail_at(position_, problem); }

    void fail_at(std::size_t at, std::string_view problem)
    {
        if (!problem_)
            problem_ = syntax_error(text_, at, problem);
    }

    std::string read_word()
    {
        skip_blanks();
        auto const begin = position_;
        while (!at_end() && is_word_char(text_[position_]))
            ++position_;
        return std::string(text_.substr(begin, position_ - begin));
    }

    std::string read_key()
    {
        skip_blanks();
        auto const begin = position_;
        auto res = read_word();
        if (!is_label_key(res))
            fail_at(begin, "expected a label key: 1 to 128 letters, digits, "
                           "'.', '_', '-' or '/'");
        return res;
    }

    std::string read_value()
    {
        skip_blanks();
        auto const begin = position_;
        auto res = read_word();
        if (res.empty() || !is_label_value(res))
            fail_at(begin, "expected a label value: 1 to 128 letters, digits, "
                           "'.', '_', '-', '/' or ':'");
        return res;
    }

    void parse_values(selector::requirement& out)
    {
        if (!accept('('))
            return fail("expected '(' and a list of values, such as (a,b)");
        do
            out.values.insert(read_value());
        while (!problem_ && accept(','));
        if (!problem_ && !accept(')'))
            fail("expected ',' or ')' in the list of values");
    }

    void parse_requirement(selector& out)
    {
        selector::requirement next;
        if (accept('!'))
        {
            next.kind = selector::operator_kind::absent;
            next.key = read_key();
        }
        else
        {
            next.key = read_key();
            if (!problem_)
                parse_operator(next);
        }
        out.requirements_.push_back(std::move(next));
    }

    void parse_operator(selector::requirement& next)
    {
        if (accept('!'))
        {
            next.kind = selector::operator_kind::not_in;
            if (!accept('='))
                return fail("expected '=' after '!', as in key!=value");
            next.values.insert(read_value());
            return;
        }
        if (accept('='))
        {
            next.kind = selector::operator_kind::in;
            next.values.insert(read_value());
            return;
        }
        skip_blanks();
        if (at_end() || text_[position_] == ',')
            return;
        auto const begin = position_;
        auto const name = read_word();
        if (name == "in")
            next.kind = selector::operator_kind::in;
        else if (name == "notin")
            next.kind = selector::operator_kind::not_in;
        else
            return fail_at(begin,
                           "expected '=', '!=', 'in', 'notin' or ',' after a "
                           "label key");
        parse_values(next);
    }

    std::string_view text_;
    std::size_t position_ = 0;
    std::optional<kernel::error> problem_;
};

kernel::result<selector> selector::parse(std::string_view text)
{
    return selector_parser(text).run();
}

bool selector::is_met(requirement const& condition, label_set const& labels)
{
    auto const it = labels.find(condition.key);
    bool const present = it != labels.end();
    switch (condition.kind)
    {
    case operator_kind::present:
        return present;
    case operator_kind::absent:
        return !present;
    case operator_kind::in:
        return present && condition.values.contains(it->second);
    case operator_kind::not_in:
        return !present || !condition.values.contains(it->second);
    }
    return false;
}

bool selector::matches(label_set const& labels) const
{
    return std::all_of(requirements_.begin(), requirements_.end(),
                       [&](auto const& it) { return is_met(it, labels); });
}

void selector::collect_keys(std::set<std::string>& out) const
{
    for (auto const& it : requirements_)
        out.insert(it.key);
}

} // namespace endiveward::config
