package priorityadmission

// FairLevel exports fairLevel.
var FairLevel = fairLevel
