// Label selectors for instances, for example: location=east,build<43,name!=a3
grammar Select;

whole: (part (',' part)*)? EOF;

part: name=WORD sign=('=' | '!=' | '<' | '<=' | '>' | '>=') value=WORD;

WORD: [a-zA-Z0-9_.:/-]+;
SPACE: [ \t]+ -> skip;
OTHER: .;
