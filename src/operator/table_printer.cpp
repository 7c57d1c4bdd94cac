#include "table_printer_p.h"

#include <algorithm>
#include <iomanip>
#include <string>
#include <vector>

namespace vanillalift {

using nlohmann::json;

namespace {

    std::string cellText(const json& row, const std::string& column)
    {
        if (!row.contains(column))
            return {};
        const auto& value = row.at(column);
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

    std::vector<std::string> collectColumns(const json& rows)
    {
        std::vector<std::string> columns;
        // The columns that identify a row come first.
        for (const auto* it : { "revision", "name", "id", "instance", "team" }) {
            if (rows.front().contains(it))
                columns.emplace_back(it);
        }
        for (const auto& row : rows) {
            for (const auto& [column, value] : row.items()) {
                if (std::find(columns.begin(), columns.end(), column) == columns.end())
                    columns.push_back(column);
            }
        }
        return columns;
    }

    void printRow(std::ostream& out, const std::vector<std::string>& cells, const std::vector<size_t>& widths)
    {
        for (size_t n = 0; n + 1 < cells.size(); ++n)
            out << std::left << std::setw(static_cast<int>(widths[n] + 2)) << cells[n];
        out << cells.back() << "\n";
    }

} // namespace

void printTable(std::ostream& out, const json& value)
{
    bool isTable = value.is_array() && !value.empty() && std::all_of(value.begin(), value.end(), [](const json& it) { return it.is_object(); });
    if (!isTable) {
        out << value.dump(2) << "\n";
        return;
    }
    auto columns = collectColumns(value);
    std::vector<std::vector<std::string>> lines { columns };
    for (const auto& row : value) {
        auto& cells = lines.emplace_back();
        for (const auto& it : columns)
            cells.push_back(cellText(row, it));
    }
    std::vector<size_t> widths(columns.size(), 0);
    for (const auto& cells : lines) {
        for (size_t n = 0; n < cells.size(); ++n)
            widths[n] = std::max(widths[n], cells[n].size());
    }
    for (const auto& cells : lines)
        printRow(out, cells, widths);
}

} // namespace vanillalift
