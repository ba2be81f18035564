#pragma once

#include "table/tablecolumns.h"

namespace RadishSwitch
{

// Members of rows to the text of their cells and back. `readCell` gives false, and leaves `value` alone, when the text
// does not fit the column.

std::string cellText(const std::string &value, const TableColumn &column);
std::string cellText(std::int64_t value, const TableColumn &column);
std::string cellText(bool value, const TableColumn &column);
std::string cellText(PoolKind value, const TableColumn &column);
std::string cellText(PoolPolicy value, const TableColumn &column);
std::string cellText(const std::vector<std::string> &values, const TableColumn &column);
std::string cellText(const std::vector<NonIdempotentRule> &rules, const TableColumn &column);

template<typename Tag>
std::string cellText(const Identifier<Tag> &value, const TableColumn &)
{
    return value.value();
}

bool readCell(const std::string &text, const TableColumn &column, std::string &value);
bool readCell(const std::string &text, const TableColumn &column, std::int64_t &value);
bool readCell(const std::string &text, const TableColumn &column, bool &value);
bool readCell(const std::string &text, const TableColumn &column, PoolKind &value);
bool readCell(const std::string &text, const TableColumn &column, PoolPolicy &value);
bool readCell(const std::string &text, const TableColumn &column, std::vector<std::string> &values);
bool readCell(const std::string &text, const TableColumn &column, std::vector<NonIdempotentRule> &rules);

template<typename Tag>
bool readCell(const std::string &text, const TableColumn &column, Identifier<Tag> &value)
{
    std::string name;
    if (!readCell(text, column, name)) {
        return false;
    }
    value = Identifier<Tag>(name);
    return true;
}

}
