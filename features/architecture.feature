Feature: Shape of the code

  Scenario: The core has no input or output
    Guards against a decision that depends on a socket, file, clock or
    random number.
    When the imports of the core are read
    Then the core imports only attrs, cattrs, its own modules and
      """
      __future__ collections.abc collections copy enum functools hashlib
      heapq itertools json math operator typing bisect
      """

  Scenario: Modules are imported, not names
    Guards against names whose origin a reader cannot see.
    When the imports of all packages are read
    Then every "from" import of the project names a module
