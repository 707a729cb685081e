Feature: Quotas of teams

  Scenario Outline: A team reserves no more than this owner's part of its quota
    Guards against one team that takes the capacity of the other 72 teams.
    Given a team quota of 8 processors of which this owner enforces <share>
    When the team asks for 2 processors until it is refused
    Then it holds <held> processors

    Examples:
      | share | held |
      | 1.0   | 8    |
      | 0.5   | 4    |
      | 0.3   | 2    |
